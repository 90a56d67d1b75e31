//! Requests under which replicas ended: which these are, and how long each is held back.

mod request_digest;

pub use request_digest::RequestDigest;
