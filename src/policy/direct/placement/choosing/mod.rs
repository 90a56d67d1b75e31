//! Parts of the choice of a replica: the request, the cost of its prompt at each candidate,
//! and the queue and memory limits for admission.

mod admission;
mod candidate;
mod cheapest;
mod choice;
mod candidate_sampling;
mod preferred_replicas;
mod prefill_plan;
mod placement_request;
mod plain_queue;
mod queue_budget;

pub use {
    admission::{Admission, is_over_share},
    candidate::Candidate,
    cheapest::Cheapest,
    choice::{Choice, RefusalReason},
    candidate_sampling::{CandidateSampling, CandidateTier},
    preferred_replicas::preferred_replicas,
    prefill_plan::{CacheSources, prefill_plan},
    placement_request::PlacementRequest,
    plain_queue::PlainQueue,
    queue_budget::QueueBudget,
};
