use {
    super::{answer_reader::AnswerReader, caller_request::CallerRequest},
    crate::{
        link::Peer,
        policy::{AnswerEvent, GrantNumber, Incarnation, RouterExchange},
        wire::{RequestHead, StreamOpen},
    },
    std::time::Duration,
};

/// Sends a request to a sidecar. From the first byte on, only the sidecar's
/// own word says that it did not run.
pub async fn send_request(
    request: &CallerRequest,
    peer: &Peer,
    incarnation: Incarnation,
    grant: Option<GrantNumber>,
    patience: Duration,
) -> Result<AnswerReader, RouterExchange> {
    if !peer.is_open() {
        return Err(RouterExchange::Unsent.after(AnswerEvent::Lost));
    }
    let head = request_head(request, incarnation, grant, patience);
    let sent = RouterExchange::Unsent.after(AnswerEvent::Sending);
    let lost = sent.after(AnswerEvent::Lost);
    let open = StreamOpen::Exchange(Box::new(head));
    let (mut send, recv) = peer.open(&open).await.map_err(|error| {
        log::debug!(code = error.code.number(), peer = &*peer.host; "not sent: {error}");
        lost
    })?;
    let written = send.write_all(&request.body).await;
    if written.is_err() || send.finish().is_err() {
        // The sidecar may have refused it before reading it all: its answer counts.
        log::debug!(peer = &*peer.host; "body not taken");
    }
    Ok(AnswerReader::new(recv, &request.request_id))
}

fn request_head(
    request: &CallerRequest,
    incarnation: Incarnation,
    grant: Option<GrantNumber>,
    patience: Duration,
) -> RequestHead {
    RequestHead {
        request_id: request.request_id.clone(),
        account: request.account,
        class: request.class.clone(),
        group: request.group.clone(),
        model: request.model.clone(),
        labels: request
            .labels
            .iter()
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .collect(),
        method: request.method.clone(),
        path: request.path.clone(),
        headers: request.headers.clone(),
        incarnation,
        grant,
        once_key: request.once_key.clone(),
        patience_ms: patience.as_millis().min(u128::from(u32::MAX)) as u32,
        body_len: request.body.len() as u64,
    }
}
