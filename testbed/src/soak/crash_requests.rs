//! The requests of a run in which replicas crash.

use {
    super::CrashScenario,
    crate::direct::ClientRequest,
    rand::{Rng, rngs::StdRng},
};

/// Body of the request that crashes each replica that begins to run it.
pub(super) const FATAL_PROMPT: &str = "a prompt that no engine survives";

/// The prompt part that crashes each replica that begins to answer on it, as prompt headers state
/// it.
pub(super) const FATAL_PART: &str = "dead0001:410";

/// A part that comes with it, and later on with harmless requests as well.
const COMPANION_PART: &str = "c0ffee01:300";

/// Parts that begin the prompts of harmless requests, and those that follow them.
const FIRST_PARTS: u32 = 4;
const SECOND_PARTS: u32 = 40;

/// The share of a run in which a part that turns fatal is still harmless, and after which the
/// companion part also comes with harmless requests.
pub(super) const FIRST_PHASE: f64 = 0.35;

/// Share of the harmless requests that have the part before it turns fatal, or later on its
/// companion.
const SHARE_WITH_PART: f64 = 0.3;

/// The request that crashes replicas, or one with the part that does, under a new id.
pub(super) fn fatal_request(
    scenario: CrashScenario,
    random: &mut StdRng,
) -> ClientRequest {
    let id = format!("{:016x}", random.random::<u64>());
    let (first, second) = shared_parts(random);
    let parts = match scenario {
        CrashScenario::PartFirst => vec![FATAL_PART.to_owned(), second],
        CrashScenario::PartRare => vec!["a1:700".to_owned(), FATAL_PART.to_owned()],
        CrashScenario::PartWithCompanion => {
            vec![first, COMPANION_PART.to_owned(), FATAL_PART.to_owned()]
        }
        _ if scenario.has_prompts() => vec![first, FATAL_PART.to_owned(), second],
        _ => return ClientRequest::post("/fatal/", &id, FATAL_PROMPT),
    };
    with_prompt(&id, parts, random)
}

/// A harmless request, `progress` (0 to 1) of the run after its beginning.
pub(super) fn harmless_request(
    scenario: CrashScenario,
    random: &mut StdRng,
    progress: f64,
) -> ClientRequest {
    let id = format!("{:016x}", random.random::<u64>());
    if !scenario.has_prompts() {
        let body = match scenario {
            CrashScenario::OneRequest => "the same prompt".to_owned(),
            _ => format!("prompt {:016x}", random.random::<u64>()),
        };
        return ClientRequest::post("/read/", &id, &body);
    }
    let (first, second) = shared_parts(random);
    let has_other_part = random.random_bool(SHARE_WITH_PART);
    let mut parts = vec![first, second];
    if has_other_part {
        match scenario {
            CrashScenario::PartWithCompanion if progress > FIRST_PHASE => {
                parts.insert(1, COMPANION_PART.to_owned());
            }
            CrashScenario::PartTurnsFatal if progress < FIRST_PHASE => {
                parts.insert(1, FATAL_PART.to_owned());
            }
            _ => {}
        }
    }
    with_prompt(&id, parts, random)
}

/// A first and a second part that requests share, drawn at random.
fn shared_parts(random: &mut StdRng) -> (String, String) {
    let first = random.random_range(0..FIRST_PARTS);
    let second = random.random_range(0..SECOND_PARTS);
    (format!("f{first:x}:800"), format!("b{second:02x}:300"))
}

/// A request with these parts in its prompt, and one of its own.
fn with_prompt(
    id: &str,
    mut parts: Vec<String>,
    random: &mut StdRng,
) -> ClientRequest {
    parts.push(format!("{:016x}:250", random.random::<u64>()));
    let body = format!("prompt {id}");
    ClientRequest::post("/stream/", id, &body)
        .header("Archmast-Token-Count", "2000,20")
        .header("Archmast-Prefix-Hash", &parts.join(","))
}
