#include "app/recovery/peer_state_provider.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "clients/retained_records_page.h"
#include "wire/records.h"

namespace oxbow::app {
namespace {

using clients::PeerAnswer;
using clients::PeerMessage;

// What an entry takes in a page beside its key and record, in bytes: two
// lengths and two numbers.
constexpr size_t kEntryOverheadBytes = 24;

}  // namespace

std::vector<std::string> PeerStateProvider::SortedRecordKeys() const {
  std::vector<std::string> record_keys;
  context_.catalog.ForEachKind([&](const auto& map, std::string_view prefix) {
    for (const auto& [name, record] : map) {
      record_keys.push_back(keys::Of(prefix, name));
    }
  });
  std::sort(record_keys.begin(), record_keys.end());
  return record_keys;
}

void PeerStateProvider::FillRetainedRecords(const PeerMessage& request,
                                            PeerMessage* reply) {
  if (!broadcast_.IsPeer(request.node)) return;
  std::vector<std::string>& record_keys = transfers_[request.node].record_keys;
  const std::string& last_key = request.job_id;
  // Once for all pages: a record that is written later is of this epoch, and
  // the other controller reads it from the store.
  if (last_key.empty() || record_keys.empty()) record_keys = SortedRecordKeys();
  std::vector<clients::RetainedRecord> page;
  size_t page_bytes = 0;
  for (auto key =
           std::upper_bound(record_keys.begin(), record_keys.end(), last_key);
       key != record_keys.end(); ++key) {
    const Record known = context_.catalog.RecordOf(*key);
    if (std::holds_alternative<std::monostate>(known)) continue;
    std::string record = wire::EncodeRecord(known);
    page_bytes += key->size() + record.size() + kEntryOverheadBytes;
    if (!page.empty() && page_bytes > clients::kRetainedRecordsPageBytes) break;
    page.push_back({*key, context_.catalog.VersionOf(*key), std::move(record)});
  }
  if (page.empty()) record_keys = {};
  reply->answer = PeerAnswer::kYes;
  reply->running = static_cast<uint32_t>(history_.first_epoch());
  reply->text = clients::EncodeRetainedRecords(page);
}

void PeerStateProvider::FillTerminalStates(const PeerMessage& request,
                                           PeerMessage* reply) {
  const auto part = static_cast<TerminalState>(request.done);
  if (part != TerminalState::kDone && part != TerminalState::kAborted) return;
  if (!broadcast_.IsPeer(request.node)) return;
  std::string& bytes = transfers_[request.node].terminal_states[request.done];
  const uint64_t offset = request.mod_revision;
  if (offset == 0) bytes = context_.catalog.terminal_states().Encode(part);
  if (offset > bytes.size()) return;
  reply->answer = PeerAnswer::kYes;
  reply->text = bytes.substr(offset, clients::kRetainedRecordsPageBytes);
  reply->running = offset + reply->text.size() < bytes.size() ? 1 : 0;
  if (reply->running == 0) bytes = {};
}

}  // namespace oxbow::app
