//! The replicas as seen by one router: their observed state, and the choice among them.

mod board_beliefs;
mod board_choice;
mod board_evidence;
mod board_kept;
mod board_notices;
mod board_paces;
mod board_pauses;
mod board_plain;
mod board_refusals;
mod board_reports;
mod board_starts;
mod board_works;
mod replica_board;

pub use replica_board::ReplicaBoard;
