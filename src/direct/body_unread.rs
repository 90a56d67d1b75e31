/// Marks an answer whose request's body was not read to its end.
#[derive(Debug, Clone, Copy)]
pub struct BodyUnread;
