// Messages between instances. The data classes in messages.py have the same names and fields.

struct ReserveTokens {
  1: string grant_id, 2: string workspace, 3: double tokens, 4: double returnable, 5: bool pooled
}
struct TokensGranted { 1: double start_in_s, 2: string incarnation }
struct TokensRefused { 1: double retry_after_s }
struct SettleTokens {
  1: string grant_id, 2: string workspace, 3: double unused, 4: bool pooled, 5: string incarnation
}
struct TransferTokens { 1: string workspace, 2: double tokens, 3: string owner }
struct PullTokens { 1: string workspace }
struct NotHome { 1: i32 reason, 2: i64 view_revision }
struct AcquireSlot {
  1: string lease_id, 2: string pool, 3: string failure_domain, 4: string workspace,
  5: i32 prompt_tokens, 6: list<string> prefixes, 7: double max_wait_s,
  8: list<string> excluded, 9: string holder
}
struct SlotGranted { 1: string decode, 2: string prefill, 3: double queued_s }
struct SlotRefused { 1: double retry_after_s }
struct FinishPrefill { 1: string lease_id, 2: string pool, 3: string failure_domain }
struct ReleaseSlot {
  1: string lease_id, 2: string pool, 3: string failure_domain, 4: string upstream_failed
}
struct HeldLease {
  1: string lease_id, 2: string pool, 3: string failure_domain, 4: string workspace,
  5: string decode
}
struct Heartbeat {
  1: string instance, 2: string incarnation, 3: string failure_domain, 4: i64 view_revision,
  5: i64 config_revision, 6: double platform_age_s, 7: bool leaving, 8: list<HeldLease> leases,
  9: list<PoolLoad> loads
}
struct PoolLoad { 1: string pool, 2: i32 free_slots, 3: i32 queued }
struct RunOnce {
  1: string key, 2: string workspace, 3: string service_name, 4: string method, 5: string path,
  6: string content_type, 7: binary body, 8: string operation
}
struct RunOnceAnswered {
  1: i32 status, 2: string content_type, 3: binary body, 4: bool replayed
}
struct RunOnceRefused { 1: string kind }
struct KeyRecord {
  1: string workspace, 2: string key, 3: string operation, 4: double age_s, 5: i32 status,
  6: string content_type, 7: binary body
}
struct HandOverKeys {
  1: string instance, 2: string partition, 3: double tenure_s, 4: list<KeyRecord> records
}
struct AddStrike { 1: string fingerprint, 2: string strike_id }
struct Accepted {}
struct FetchRevision { 1: list<string> known_digests }
struct RevisionPart { 1: string digest, 2: binary content }
struct RevisionFetched { 1: binary manifest, 2: list<RevisionPart> parts }
struct FetchView {}
struct ViewFetched { 1: binary content }

union Body {
  1: ReserveTokens ReserveTokens, 2: TokensGranted TokensGranted,
  3: TokensRefused TokensRefused, 4: SettleTokens SettleTokens,
  5: TransferTokens TransferTokens, 6: NotHome NotHome, 7: AcquireSlot AcquireSlot,
  8: SlotGranted SlotGranted, 9: SlotRefused SlotRefused, 10: FinishPrefill FinishPrefill,
  11: ReleaseSlot ReleaseSlot, 12: Heartbeat Heartbeat, 13: RunOnce RunOnce,
  14: RunOnceAnswered RunOnceAnswered, 15: RunOnceRefused RunOnceRefused,
  16: HandOverKeys HandOverKeys, 17: AddStrike AddStrike, 18: Accepted Accepted,
  19: FetchRevision FetchRevision, 20: RevisionFetched RevisionFetched,
  21: FetchView FetchView, 22: ViewFetched ViewFetched, 23: PullTokens PullTokens
}

// An answer has the correlation of its request. A request with correlation zero gets no answer.
struct Frame { 1: i64 correlation, 2: Body body }
