//! The fleet's certificate authority, the certificates of its processes, and the command that
//! issues them.

mod authority;
mod command;
mod crypto;
mod errors;
mod identity;
mod peer_name;

pub use {
    authority::{Authority, IssuedKey},
    command::main,
    crypto::install_crypto,
    errors::KeyError,
    identity::{Identity, peer_name},
    peer_name::PeerName,
};
