//! Parts of the choice of a replica: the request, the cost of its prompt at each candidate,
//! and the queue and memory limits for admission.

mod admission_limits;
mod candidate;
mod candidate_sampling;
mod cheapest;
mod choice;
mod placement_request;
mod plain_queue;
mod preferred_replicas;
mod prefill_plan;
mod queue_budget;

pub use {
    admission_limits::{AdmissionLimits, is_over_share},
    candidate::Candidate,
    candidate_sampling::{CandidateSampling, CandidateTier},
    cheapest::Cheapest,
    choice::{Choice, RefusalReason},
    placement_request::PlacementRequest,
    plain_queue::PlainQueue,
    preferred_replicas::preferred_replicas,
    prefill_plan::{CacheSources, prefill_plan},
    queue_budget::QueueBudget,
};
