// Reports between instances. A datagram holds one report of one kind.

struct Work { 1: i32 requests, 2: i32 tokens }
struct Contact { 1: string instance, 2: string host }
struct Strike { 1: string fingerprint, 2: string id, 3: double age_s }
struct Crash { 1: string engine, 2: string request, 3: list<string> parts, 4: double age_s }
// Without per_s the upstream names no limit any more.
struct Limit { 1: string upstream, 2: i64 born_ms, 3: double per_s, 4: double age_s }
// An upstream that the sender could not reach; age_s since the latest failure.
struct Failure { 1: string upstream, 2: i64 born_ms, 3: double age_s, 4: double for_s }
// Tokens of prompts of a priority, over the last two seconds and waiting now.
struct Demand {
  1: string service_name, 2: i32 priority, 3: double arrived_per_s, 4: double short_per_s,
  5: double refused_per_s, 6: double waiting_tokens
}
// Seconds for a unit of work by the sender's own calls; kind as in policy/learned_capacity.py.
struct Capacity {
  1: string upstream, 2: i64 born_ms, 3: i32 kind, 4: i32 number, 5: double load,
  6: double unit_s, 7: double weight, 8: double age_s
}
struct Report {
  1: string instance, 2: string host, 3: string domain, 4: i64 incarnation, 5: i64 sequence,
  6: double sent_s, 7: bool leaving, 8: i64 revision, 9: double proof_age_s,
  10: map<string, Work> work_by_upstream, 11: map<string, double> used_by_workspace,
  12: map<string, double> echo_by_instance, 13: list<Contact> contacts, 14: list<Strike> strikes,
  15: map<string, double> set_aside_s_by_upstream, 16: double source_steady_s,
  17: map<string, double> requests_by_service, 18: map<string, double> repeats_by_service,
  19: i64 source_revision, 20: list<Crash> crashes, 21: map<string, double> sound_age_s_by_part,
  22: i64 configuration_version, 23: list<Limit> limits,
  24: map<string, double> turned_away_s_by_upstream,
  25: map<string, i64> leaving_born_ms_by_upstream, 26: list<Failure> failures,
  27: list<string> cut_off_services, 28: map<string, double> sound_age_s_by_request,
  29: bool ranks_streams, 30: bool bounds_attempts, 31: list<Capacity> capacities,
  32: list<Demand> demands, 34: bool reads_compressed, 35: double link_mbps,
  36: bool ranks_by_age, 37: double list_age_s, 38: bool ranks_by_list
}
struct WorkReport {
  1: string instance, 2: i64 incarnation, 3: i64 sequence, 4: map<string, Work> work_by_upstream,
  5: map<string, double> used_by_workspace, 6: map<string, double> requests_by_service,
  7: map<string, double> repeats_by_service,
  8: i64 source_revision, 9: list<Limit> limits, 10: list<Failure> failures
}
// A stream and the service and software version that began it, age_s before the report.
struct Origin { 1: string key, 2: string service_name, 3: string version, 4: double age_s }
struct OriginReport { 1: string instance, 2: list<Origin> origins }
struct Datagram { 1: Report report, 2: WorkReport work, 3: OriginReport origins }
