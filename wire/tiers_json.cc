#include "wire/tiers_json.h"

#include <rapidjson/document.h>
#include <rapidjson/error/en.h>

#include "wire/field_reader.h"
#include "wire/json.h"
#include "wire/names.h"

namespace oxbow::wire {
namespace {

std::string ReadWords(const rapidjson::Value& match, const char* key,
                      std::vector<std::string>* out) {
  const auto* list = json::Find(match, key);
  if (list == nullptr) return {};
  if (!list->IsArray()) return std::string(key) + ": not a list";
  for (const auto& word : list->GetArray()) {
    if (!word.IsString()) return std::string(key) + ": not a list of names";
    out->emplace_back(json::View(word));
  }
  // An empty list would match everything, which is never the intention.
  if (out->empty()) return std::string(key) + ": an empty list";
  return {};
}

template <typename Names, typename Term>
std::string ReadTerms(const rapidjson::Value& match, const char* key,
                      const Names& names, std::vector<Term>* out) {
  std::vector<std::string> words;
  std::string why = ReadWords(match, key, &words);
  if (!why.empty()) return why;
  for (const std::string& word : words) {
    Term term{};
    if (!TermOf(names, word, &term)) {
      return std::string(key) + ": \"" + word.substr(0, 64) + "\" is unknown";
    }
    out->push_back(term);
  }
  return {};
}

std::string ReadMatch(const rapidjson::Value& value, TierMatch* out) {
  const auto* match = json::Find(value, "match");
  if (match == nullptr) return {};
  if (!match->IsObject()) return "match: not an object";
  std::string why = ReadWords(*match, "duty", &out->classes);
  if (why.empty()) why = ReadWords(*match, "crew", &out->teams);
  if (why.empty()) {
    why = ReadTerms(*match, "standing", kPriorities, &out->priorities);
  }
  if (why.empty()) why = ReadTerms(*match, "form", kJobKinds, &out->kinds);
  return why;
}

std::string ReadTier(const rapidjson::Value& value, Tier* out) {
  if (!value.IsObject()) return "not an object";
  FieldReader read(value);
  read.String("name", &out->name);
  read.Count("rank", 0, UINT32_MAX - 1, &out->rank);
  if (!read.error().empty()) return read.error() + " is missing or wrong";
  const auto share = [&](const char* key, double* to) -> std::string {
    const auto* v = json::Find(value, key);
    if (v == nullptr) return {};
    if (!v->IsNumber()) return std::string(key) + ": not a number";
    *to = v->GetDouble();
    return {};
  };
  std::string why = share("kept_share", &out->headroom_share);
  if (why.empty()) why = share("most_share", &out->max_share);
  if (why.empty()) why = share("floor_s", &out->turn_wait_seconds);
  if (why.empty()) why = ReadMatch(value, &out->match);
  if (!why.empty()) return "tier " + out->name.substr(0, 64) + ", " + why;
  return {};
}

template <typename List, typename Name>
void WriteList(json::Writer& writer, const char* key, const List& list,
               const Name& name) {
  if (list.empty()) return;
  writer.Key(key);
  writer.StartArray();
  for (const auto& item : list) json::String(writer, name(item));
  writer.EndArray();
}

}  // namespace

std::string ReadTiers(std::string_view text, const TierBounds& bounds,
                      std::vector<Tier>* out) {
  out->clear();
  if (text.size() > bounds.max_record_bytes) {
    return "the text has " + std::to_string(text.size()) + " bytes, at most " +
           std::to_string(bounds.max_record_bytes);
  }
  rapidjson::Document doc;
  if (!json::Parse(text, &doc)) {
    return std::string("not JSON at byte ") +
           std::to_string(doc.GetErrorOffset()) + ": " +
           rapidjson::GetParseError_En(doc.GetParseError());
  }
  const auto* tiers = json::Find(doc, "tiers");
  if (tiers == nullptr || !tiers->IsArray()) return "tiers: not a list";
  std::vector<Tier> read;
  for (const auto& value : tiers->GetArray()) {
    Tier tier;
    const std::string why = ReadTier(value, &tier);
    if (!why.empty()) {
      return "entry " + std::to_string(read.size()) + ": " + why;
    }
    read.push_back(std::move(tier));
    // One tier above the limit is enough for FindTierError to reject the list.
    if (read.size() > bounds.max_tiers) break;
  }
  if (const std::optional<TierError> error = FindTierError(read, bounds)) {
    return Render(*error);
  }
  *out = std::move(read);
  return {};
}

std::string WriteTiers(const std::vector<Tier>& tiers) {
  rapidjson::StringBuffer buffer;
  json::Writer writer(buffer);
  const auto word = [](const std::string& text) { return text; };
  writer.StartObject();
  writer.Key("tiers");
  writer.StartArray();
  for (const Tier& tier : tiers) {
    writer.StartObject();
    json::Field(writer, "name", tier.name);
    writer.Key("rank");
    writer.Uint(tier.rank);
    writer.Key("match");
    writer.StartObject();
    WriteList(writer, "duty", tier.match.classes, word);
    WriteList(writer, "crew", tier.match.teams, word);
    WriteList(writer, "standing", tier.match.priorities,
              [](Priority p) { return NameOf(kPriorities, p); });
    WriteList(writer, "form", tier.match.kinds,
              [](JobKind k) { return NameOf(kJobKinds, k); });
    writer.EndObject();
    writer.Key("kept_share");
    writer.Double(tier.headroom_share);
    writer.Key("most_share");
    writer.Double(tier.max_share);
    if (tier.turn_wait_seconds > 0) {
      writer.Key("floor_s");
      writer.Double(tier.turn_wait_seconds);
    }
    writer.EndObject();
  }
  writer.EndArray();
  writer.EndObject();
  return json::Text(buffer);
}

void TakeTiers(std::string_view text, uint64_t version,
               const TierBounds& bounds, TiersInForce* in_force) {
  std::vector<Tier> tiers;
  const std::string why = ReadTiers(text, bounds, &tiers);
  if (why.empty()) {
    in_force->OnRecord(version, TierSet(std::move(tiers), bounds));
  } else {
    in_force->OnBadRecord(version, why);
  }
}

}  // namespace oxbow::wire
