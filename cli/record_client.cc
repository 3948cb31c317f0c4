#include "cli/record_client.h"

#include <cstdio>

#include "api/record_routes.h"
#include "cli/controller_client.h"
#include "net/http_client.h"
#include "wire/json.h"

namespace oxbow::cli {
namespace {

constexpr size_t kMaxAnswerBytes = 16 * 1024 * 1024;

OperatorRecord ParseRecord(const rapidjson::Value& value) {
  OperatorRecord record;
  record.kind = json::GetString(value, "kind");
  record.version = json::GetUint(value, "version");
  record.author = json::GetString(value, "author");
  record.note = json::GetString(value, "note");
  record.changed_wall = json::GetDouble(value, "t");
  record.withdrawn = json::GetBool(value, "withdrawn");
  if (const auto* text = json::Find(value, "text")) {
    rapidjson::StringBuffer buffer;
    json::Writer writer(buffer);
    text->Accept(writer);
    record.text = json::Text(buffer);
  }
  return record;
}

std::string ChangeBody(uint64_t version, const std::string& text,
                       const std::string& author, const std::string& note,
                       bool withdrawn) {
  rapidjson::StringBuffer buffer;
  json::Writer writer(buffer);
  writer.StartObject();
  json::Key(writer, "version");
  writer.Uint64(version);
  if (!author.empty()) json::Field(writer, "author", author);
  if (!note.empty()) json::Field(writer, "note", note);
  if (withdrawn) {
    json::Key(writer, "withdrawn");
    writer.Bool(true);
  } else {
    json::Key(writer, "text");
    rapidjson::Document doc;
    if (json::Parse(text, &doc)) {
      doc.Accept(writer);
    } else {
      writer.Null();
    }
  }
  writer.EndObject();
  return json::Text(buffer);
}

}  // namespace

int RecordClient::Ask(const std::string& method, const std::string& path,
                      const std::string& body, std::string* answer) {
  net::ClientResult result;
  const auto command = [&](ControllerClient& client) -> net::Task<void> {
    result = co_await client.Ask(method, path, body);
  };
  if (!RunWithController(address_, kMaxAnswerBytes, command)) return 0;
  if (result.outcome != net::Outcome::kAnswered) return 0;
  *answer = std::move(result.body);
  return result.status;
}

RecordClient::Answer RecordClient::Change(const std::string& name,
                                          const std::string& body) {
  const std::string path = std::string(api::RecordRoutes::kPath) + "/" + name;
  Answer answer;
  const int status =
      Ask(body.empty() ? "GET" : "POST", path, body, &answer.body);
  rapidjson::Document doc;
  if (status == 0 || !json::Parse(answer.body, &doc)) return answer;
  if (status == 200 || status == 201) {
    answer.result = Result::kOk;
    answer.record = ParseRecord(doc);
  } else if (status == 404) {
    answer.result = Result::kNotFound;
  } else if (status == 409) {
    answer.result = Result::kConflict;
    answer.record = ParseRecord(doc);
  } else if (status != 503 && status != 429) {
    answer.result = Result::kRefused;
    answer.why = json::GetString(doc, "error");
  }
  return answer;
}

RecordClient::Answer RecordClient::Get(const std::string& name) {
  return Change(name, "");
}

RecordClient::Answer RecordClient::Put(const std::string& name,
                                       uint64_t version,
                                       const std::string& text,
                                       const std::string& author,
                                       const std::string& note) {
  return Change(name, ChangeBody(version, text, author, note, false));
}

RecordClient::Answer RecordClient::Withdraw(const std::string& name,
                                            uint64_t version,
                                            const std::string& author,
                                            const std::string& note) {
  return Change(name, ChangeBody(version, "", author, note, true));
}

bool RecordClient::ReadMany(const std::string& path,
                            std::vector<NamedRecord>* out) {
  std::string body;
  rapidjson::Document doc;
  if (Ask("GET", path, "", &body) != 200 || !json::Parse(body, &doc)) {
    return false;
  }
  const auto* records = json::Find(doc, "records");
  if (records == nullptr || !records->IsArray()) return false;
  for (const auto& one : records->GetArray()) {
    out->push_back({json::GetString(one, "name"), ParseRecord(one)});
  }
  return true;
}

bool RecordClient::List(const std::string& prefix,
                        std::vector<NamedRecord>* out) {
  return ReadMany(std::string(api::RecordRoutes::kPath) + "?prefix=" + prefix,
                  out);
}

bool RecordClient::ListVersions(const std::string& name,
                                std::vector<NamedRecord>* out) {
  return ReadMany(std::string(api::RecordRoutes::kVersionsPath) + name, out);
}

int RecordClient::Explain(const Answer& answer) {
  switch (answer.result) {
    case Result::kOk:
      return kRecordOk;
    case Result::kNotFound:
      std::fprintf(stderr, "there is no such record\n");
      return kRecordRefused;
    case Result::kConflict:
      std::fprintf(stderr, "conflict: version %llu stands, by %s%s%s\n",
                   static_cast<unsigned long long>(answer.record.version),
                   answer.record.author.empty() ? "nobody named"
                                                : answer.record.author.c_str(),
                   answer.record.note.empty() ? "" : ": ",
                   answer.record.note.c_str());
      return kRecordConflict;
    case Result::kRefused:
      std::fprintf(stderr, "refused: %s\n", answer.why.c_str());
      return kRecordRefused;
    case Result::kNoAnswer:
      break;
  }
  std::fprintf(stderr, "no answer\n");
  return kRecordRefused;
}

}  // namespace oxbow::cli
