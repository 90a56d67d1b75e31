//! Names of the metrics, in one place so that the docs can list them.

/// Requests from callers, by `code` and `ran`.
pub const REQUESTS: &str = "archmast_requests_total";
/// Requests that wait at a router.
pub const WAITING: &str = "archmast_waiting_requests";
/// Requests in slots of a sidecar.
pub const RUNNING: &str = "archmast_running_requests";
/// Grants issued, by `outcome`.
pub const GRANTS: &str = "archmast_grants_total";
/// Control messages sent, in bytes, by `kind`.
pub const CONTROL_BYTES: &str = "archmast_control_bytes_total";
/// Connections of callers that were handed on to another router.
pub const HANDED_ON: &str = "archmast_connections_handed_on_total";
/// Retries made, by `why`.
pub const RETRIES: &str = "archmast_retries_total";
/// Revision of the configuration in force.
pub const REVISION: &str = "archmast_revision";
/// Calls to the platform's service, by `outcome`.
pub const PLATFORM_CALLS: &str = "archmast_platform_calls_total";
/// Time since the platform's store last answered this process, in seconds; -1 if it
/// never did.
pub const STORE_AGE: &str = "archmast_store_answer_age_seconds";
/// Pauses of the process that made it drop its views.
pub const PAUSES: &str = "archmast_pauses_total";
/// Time to an answer's head or first event, in seconds, by `route`.
pub const ANSWER_SECONDS: &str = "archmast_answer_seconds";
/// Routers that were heard of lately.
pub const PEERS: &str = "archmast_peers";
/// Prompt tokens of requests that were placed, by `kind`: `read`, `kept`,
/// `fetched`.
pub const PROMPT_TOKENS: &str = "archmast_prompt_tokens_total";
/// Accounts that asked of late, by `standing` to their share: `over`, `within`, `behind`.
pub const ACCOUNTS: &str = "archmast_accounts";
/// Tokens that are divided among accounts in a window of shares.
pub const SHARE_DIVIDED: &str = "archmast_share_divided_tokens";
/// Tokens that each account may have of these; -1 where all get what they ask.
pub const SHARE_LEVEL: &str = "archmast_share_level_tokens";
/// Replicas that are left alone for a time, by evidence.
pub const RESTING: &str = "archmast_resting_replicas";
/// Replicas that are believed to take half as long again as their service's engines, or more.
pub const SLOW_REPLICAS: &str = "archmast_slow_replicas";
/// What replicas said of themselves in answers and was news, by what one `says`: `leaves`,
/// `rests`.
pub const NOTICES: &str = "archmast_replica_notices_total";
/// Bytes that are held for callers: `what` is `answers` that they are slow to read, or
/// `requests`.
pub const HELD_BYTES: &str = "archmast_held_bytes";
/// Answers that ended since their callers took nothing of them (code 48).
pub const UNREAD_ANSWERS: &str = "archmast_unread_answers_total";
/// Replicas that this router follows to hear what they keep of prompts.
pub const KEPT_FOLLOWED: &str = "archmast_kept_followed_replicas";
/// Calls for that, by `outcome`: `answered`, `failed`.
pub const KEPT_CALLS: &str = "archmast_kept_calls_total";
/// Events of parts of prompts, by `kind`: `heard`; of these `taken`, not believed to be
/// kept before, and `given_up`, believed to be.
pub const KEPT_EVENTS: &str = "archmast_kept_events_total";
/// Streams that ended, by `how`: `whole`, `cut`, `left` by their caller.
pub const STREAMS: &str = "archmast_streams_total";
/// Streams one of whose pauses came over the aim of their route, by `service`; each stream
/// once at each replica.
pub const BROKEN_PAUSES: &str = "archmast_broken_pauses_total";
/// Requests that are held back, since replicas ended under them.
pub const HELD: &str = "archmast_held_requests";
/// Messages of other routers that could not be read and were dropped, by `code`: those of
/// a build that knows more than this one among them.
pub const MESSAGES_REFUSED: &str = "archmast_messages_refused_total";
/// Zones that get no new work, as the operator asked.
pub const CORDONED: &str = "archmast_cordoned_zones";
/// Of these, zones that have no replicas here.
pub const CORDONS_UNKNOWN: &str = "archmast_cordoned_unknown_zones";
/// What was read of the store and cannot be used, by `what`: `item`, `value`, `cordon`.
pub const UNREADABLE: &str = "archmast_unreadable_total";
/// Entries of the store's list that name no upstream: known, not usable.
pub const UNUSABLE_ENTRIES: &str = "archmast_unusable_entries";
/// 1 while the newest configuration that was heard of cannot be read.
pub const CONFIG_REFUSED: &str = "archmast_configuration_refused";
