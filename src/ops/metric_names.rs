//! Names of all metrics of routers and sidecars, and what their labels mean.

/// Requests from callers, by `code` and `ran`.
pub const REQUESTS: &str = "archmast_requests_total";
/// Requests that are queued at a router.
pub const WAITING_REQUESTS: &str = "archmast_waiting_requests";
/// Requests that a sidecar's upstream or, in the direct form, the replicas run for this process.
pub const RUNNING_REQUESTS: &str = "archmast_running_requests";
/// Grants, by `outcome`: `issued`, `declined`, `expired`.
pub const GRANTS: &str = "archmast_grants_total";
/// Bytes of control messages sent, by `kind` of message.
pub const CONTROL_BYTES: &str = "archmast_control_bytes_total";
/// Connections of callers that were forwarded to a router of the same zone, which had CPU to spare.
pub const CONNECTIONS_FORWARDED: &str = "archmast_connections_handed_on_total";
/// New connections of callers that were not forwarded, by `why`.
pub const CONNECTIONS_KEPT: &str = "archmast_connections_kept_total";
/// Requests sent again, by `why` the attempt before failed.
pub const RETRIES: &str = "archmast_retries_total";
/// Revision of the configuration in force.
pub const REVISION: &str = "archmast_revision";
/// Calls to the platform's service, by `outcome`.
pub const PLATFORM_CALLS: &str = "archmast_platform_calls_total";
/// Seconds since the store with the configuration and the upstreams last answered; -1 if it never
/// did.
pub const STORE_AGE: &str = "archmast_store_answer_age_seconds";
/// Era of the store's last answer: how often it has come back from a copy without its newest changes.
pub const STORE_ERA: &str = "archmast_store_era";
/// Suspensions of the process, after which it no longer relies on its state until it is confirmed.
pub const SUSPENSIONS: &str = "archmast_pauses_total";
/// Panics. Each ends one request, or a task of the process for good.
pub const PANICS: &str = "archmast_panics_total";
/// Histogram of the seconds until an answer's head or first event, by `route`.
pub const ANSWER_SECONDS: &str = "archmast_answer_seconds";
/// Routers that recently sent a report.
pub const PEERS: &str = "archmast_peers";
/// Prompt tokens of requests sent to replicas, by `kind`: `read` are computed there, `kept` are
/// in the replica's prompt cache, `fetched` it fetches from another replica.
pub const PROMPT_TOKENS: &str = "archmast_prompt_tokens_total";
/// Accounts that recently sent requests, by `standing`, their usage against their fair share:
/// `over`, `within`, or `behind` for far below.
pub const ACCOUNTS: &str = "archmast_accounts";
/// Tokens that are divided among the accounts in one window of the fair shares.
pub const SHARE_DIVIDED_TOKENS: &str = "archmast_share_divided_tokens";
/// Tokens that an account may use in one window of the fair shares; -1 if the capacity suffices for
/// all.
pub const SHARE_LEVEL_TOKENS: &str = "archmast_share_level_tokens";
/// Replicas that get no requests for now, since requests failed there.
pub const EJECTED_REPLICAS: &str = "archmast_resting_replicas";
/// Replicas that are estimated to take at least 1.5 times as long as the other engines of their
/// service.
pub const SLOW_REPLICAS: &str = "archmast_slow_replicas";
/// Notices of replicas about themselves, in answers, that were not known yet, by what one `says`:
/// `leaves` for a replica that shuts down, `rests` for one that asks for a backoff.
pub const REPLICA_NOTICES: &str = "archmast_replica_notices_total";
/// Bytes in memory, by `what`: `answers` that callers are slow to read, or bodies of `requests`.
pub const HELD_BYTES: &str = "archmast_held_bytes";
/// Answers that were cut off since their callers did not read them (`ResultCode::AnswerUnread`,
/// 48).
pub const UNREAD_ANSWERS: &str = "archmast_unread_answers_total";
/// Connections to replicas that were closed as too many bytes came before the head of an answer.
pub const OVERSIZED_HEADS: &str = "archmast_oversized_heads_total";
/// Answers that were cut off at their deadline while their replica went on sending.
pub const ENDLESS_ANSWERS: &str = "archmast_endless_answers_total";
/// Connections of callers that this router closed, by `reason`.
pub const CONNECTIONS_CLOSED: &str = "archmast_connections_closed_total";
/// Replicas whose prompt caches this router follows.
pub const FOLLOWED_CACHES: &str = "archmast_kept_followed_replicas";
/// Calls for the cache events of followed replicas, by `outcome`: `answered`, `failed`.
pub const CACHE_FOLLOW_CALLS: &str = "archmast_kept_calls_total";
/// Cache events of followed replicas, by `kind`: `heard` are new ones; of these, `taken` add a
/// cached part that was not known, and `given_up` evict one that was.
pub const CACHE_EVENTS: &str = "archmast_kept_events_total";
/// Event streams that ended, by `how`: `whole` for complete ones, `cut` for incomplete ones,
/// `left` if the caller disconnected.
pub const STREAMS: &str = "archmast_streams_total";
/// Event streams of replicas that were ended, as an event in them exceeded what may be held of one
/// that is not whole (`ResultCode::AnswerTooLarge`, 61).
pub const OVERSIZED_EVENTS: &str = "archmast_oversized_events_total";
/// Event streams with a pause between two events above the target pause of their route, by
/// `service`. A stream counts once for each replica that serves it.
pub const STREAMS_OVER_TARGET_PAUSE: &str = "archmast_broken_pauses_total";
/// Records of the software versions at which streams began, as held by this router.
pub const STREAM_ORIGINS: &str = "archmast_stream_origins";
/// Such records sent to other routers, once for each receiver.
pub const STREAM_ORIGINS_SENT: &str = "archmast_stream_origins_sent_total";
/// Live records that were dropped since the table was full.
pub const STREAM_ORIGINS_DROPPED: &str = "archmast_stream_origins_dropped_total";
/// Queries for the software version at which a stream began, by `outcome`: `found`, `unknown`,
/// `ambiguous`, `refused` if too many were pending, `abandoned` if the caller left.
pub const STREAM_ORIGIN_QUERIES: &str = "archmast_stream_origin_queries_total";
/// Requests that are held back, since replicas crashed while they ran them.
pub const HELD_REQUESTS: &str = "archmast_held_requests";
/// Messages of other routers that could not be decoded and were dropped, by `code`. A newer build
/// may send messages that this one does not know.
pub const MESSAGES_REFUSED: &str = "archmast_messages_refused_total";
/// Cordoned zones, whose replicas get no new requests, as the operator configured.
pub const CORDONED_ZONES: &str = "archmast_cordoned_zones";
/// Cordoned zones in which this router knows no replicas; the name may be wrong.
pub const CORDONED_UNKNOWN_ZONES: &str = "archmast_cordoned_unknown_zones";
/// Invalid items of the store that were ignored, by `what` is invalid: `item`, `value`, `cordon`.
pub const UNREADABLE: &str = "archmast_unreadable_total";
/// Entries in the store's list of upstreams that are invalid and therefore not used.
pub const UNUSABLE_ENTRIES: &str = "archmast_unusable_entries";
/// 1 after an invalid configuration was received, until a newer valid one comes into force; else 0.
pub const CONFIG_REFUSED: &str = "archmast_configuration_refused";
/// Connections of callers that were closed, since memory or descriptors for callers ran out, by
/// `phase`: what they were in the middle of.
pub const CALLERS_CLOSED: &str = "archmast_callers_closed_total";
/// Connections (`what` is `connection`) and requests (`request`) of callers that were refused, since
/// memory or descriptors for callers ran out.
pub const CALLERS_REFUSED: &str = "archmast_callers_refused_total";
/// Bytes that connections of callers take, and may take, by `what`: `taken`, `limit`.
pub const CALLER_BYTES: &str = "archmast_caller_bytes";
/// File descriptors that callers take, and may take, by `what`: `taken`, `limit`.
pub const CALLER_DESCRIPTORS: &str = "archmast_caller_descriptors";
