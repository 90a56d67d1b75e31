use {
    super::{answer_reader::AnswerReader, caller_request::CallerRequest},
    crate::{
        link::Peer,
        policy::{AnswerEvent, GrantNumber, Incarnation, RouterExchange},
        wire::{RequestHead, StreamOpen},
    },
    std::time::Duration,
};

/// Sends a request to a sidecar. The error is the state in which the attempt ended: once
/// a byte was sent, only the sidecar can confirm that the request did not run.
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
        log::debug!(code = error.code.number(), peer = &*peer.host; "request not sent: {error}");
        lost
    })?;
    let written = send.write_all(&request.body).await;
    if written.is_err() || send.finish().is_err() {
        // The sidecar may have refused the request before it read the whole body, so its
        // answer is still read.
        log::debug!(peer = &*peer.host; "the sidecar did not read the whole body");
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
        idempotency_key: request.idempotency_key.clone(),
        patience_ms: patience.as_millis().min(u128::from(u32::MAX)) as u32,
        body_len: request.body.len() as u64,
    }
}
