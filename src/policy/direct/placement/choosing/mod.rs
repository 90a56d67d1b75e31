//! Parts of the choice of a replica: the request, the cost of its prompt at each candidate,
//! and the queue and memory limits for admission.

mod admission;
mod candidate;
mod cheapest;
mod choice;
mod candidate_sampling;
mod homes;
mod offer;
mod placement_request;
mod plain_queue;
mod queue_budget;

pub use {
    admission::{Admission, is_over_share},
    candidate::Candidate,
    cheapest::Cheapest,
    choice::{Choice, RefusalReason},
    candidate_sampling::{CandidateSampling, Tier},
    homes::homes,
    offer::{CacheSources, offer},
    placement_request::PlacementRequest,
    plain_queue::PlainQueue,
    queue_budget::QueueBudget,
};
