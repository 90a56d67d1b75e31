//! What replicas say of themselves in their answers: that they leave, or that they want
//! nothing for a while. It binds the process that was told, whatever the list says.

mod asked_rest;
mod notice_book;
mod replica_notice;
mod said_word;

pub use {asked_rest::asked_rest, notice_book::NoticeBook, replica_notice::ReplicaNotice};
