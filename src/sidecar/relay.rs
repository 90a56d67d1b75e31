//! Forwards a request to the upstream and relays its answer to the router.

use {
    super::{
        exchange::{Exchange, send_frame},
        upstream_client::REQUEST_ID_HEADER,
        usage_meter::UsageMeter,
    },
    crate::{
        codes::ResultCode,
        fleet::Group,
        platform::read_notice,
        policy::{Finished, Moment},
        wire::{AnswerFrame, MAX_FRAME_BYTES, is_event_stream},
    },
    bytes::Bytes,
    quinn::SendStream,
    reqwest::Response,
    std::time::Duration,
};

/// How often a running request's cost so far is charged to its account.
const CHARGE_INTERVAL: Duration = Duration::from_millis(50);

impl Exchange<'_> {
    /// Sends a request that has a slot to the upstream, and relays the answer.
    pub(super) async fn run_upstream(
        mut self,
        group: &Group,
        body: Bytes,
        send: &mut SendStream,
    ) {
        let started = self.sidecar.node.now();
        let mut meter = UsageMeter::new(&group.kind, body.len());
        let outcome = tokio::select! {
            outcome = self.sidecar.upstream.send(self.head, body) => outcome,
            _ = send.stopped() => {
                // The call is dropped, which closes its connection and stops the upstream's work.
                self.record_key_ran();
                self.finish_with_cost(&meter, started);
                return;
            }
        };
        match outcome {
            Ok(response) => self.relay(response, &mut meter, started, send).await,
            Err(failure) if failure.unsent && self.state.refused_by_upstream() => {
                self.release_key();
                self.sidecar.back_off_after_refusal();
                self.finish(Finished::NotRun);
                send_frame(send, &AnswerFrame::NotRun(failure.code)).await;
            }
            Err(failure) => {
                self.record_key_ran();
                self.finish_with_cost(&meter, started);
                send_frame(send, &AnswerFrame::Failed(failure.code)).await;
            }
        }
    }

    async fn relay(
        &mut self,
        mut response: Response,
        meter: &mut UsageMeter,
        started: Moment,
        send: &mut SendStream,
    ) {
        self.sidecar.mark_received(self.id);
        let notice = read_notice(response.status(), response.headers());
        self.sidecar.handle_notice(&self.head.request_id, notice);
        let outcome = if self.is_own_answer(&response) {
            self.relay_body(&mut response, meter, started, send).await
        } else {
            Err(ResultCode::AnswerMismatch)
        };
        drop(response);
        meter.finish();
        self.state.end();
        self.record_key_ran();
        self.finish_with_cost(meter, started);
        if let Err(code) = outcome {
            log::info!(
                code = code.number(), request_id = self.head.request_id.as_str(),
                router = &*self.peer.host;
                "the upstream's answer is incomplete or invalid"
            );
            send_frame(send, &AnswerFrame::Failed(code)).await;
        }
    }

    /// Whether the answer belongs to this request, by the request id if the upstream echoes it.
    fn is_own_answer(
        &self,
        response: &Response,
    ) -> bool {
        response
            .headers()
            .get(REQUEST_ID_HEADER)
            .is_none_or(|echo| echo.as_bytes() == self.head.request_id.as_bytes())
    }

    async fn relay_body(
        &mut self,
        response: &mut Response,
        meter: &mut UsageMeter,
        started: Moment,
        send: &mut SendStream,
    ) -> Result<(), ResultCode> {
        meter.set_streamed(is_streamed(response));
        let head = AnswerFrame::Head {
            request_id: self.head.request_id.clone(),
            status: response.status().as_u16(),
            headers: answer_headers(response),
        };
        if !send_frame(send, &head).await {
            return Err(ResultCode::RequestCancelled);
        }
        let (mut length, mut crc) = (0, crc32fast::Hasher::new());
        let mut charged = started;
        loop {
            let chunk = tokio::select! {
                chunk = self.sidecar.upstream.read_chunk(response) => chunk?,
                _ = send.stopped() => return Err(ResultCode::RequestCancelled),
            };
            let Some(chunk) = chunk else { break };
            length += chunk.len() as u64;
            crc.update(&chunk);
            meter.add_chunk(&chunk);
            charged = self.charge(meter, started, charged);
            for piece in chunk.chunks(MAX_FRAME_BYTES / 2) {
                if !send_frame(send, &AnswerFrame::Chunk(piece.to_vec())).await {
                    return Err(ResultCode::RequestCancelled);
                }
            }
        }
        if !meter.is_complete() {
            return Err(ResultCode::AnswerCut);
        }
        let end = AnswerFrame::End {
            length,
            crc: crc.finalize(),
        };
        send_frame(send, &end).await;
        Ok(())
    }

    fn charge(
        &self,
        meter: &UsageMeter,
        started: Moment,
        charged: Moment,
    ) -> Moment {
        let now = self.sidecar.node.now();
        if now.saturating_sub(charged) < CHARGE_INTERVAL {
            return charged;
        }
        let units = meter.units(now.saturating_sub(started));
        self.sidecar.charge(self.id, units, now);
        now
    }

    fn finish_with_cost(
        &self,
        meter: &UsageMeter,
        started: Moment,
    ) {
        let elapsed = self.sidecar.node.now().saturating_sub(started);
        self.finish(Finished::Cost(meter.units(elapsed)));
    }
}

fn is_streamed(response: &Response) -> bool {
    response
        .headers()
        .get("content-type")
        .is_some_and(|value| is_event_stream(value.as_bytes()))
}

/// The headers of an answer. A declared length beside a transfer encoding is left out: the
/// encoding alone says where the body ends.
fn answer_headers(response: &Response) -> Vec<(String, Vec<u8>)> {
    let headers = response.headers();
    let is_length_void = headers.contains_key("transfer-encoding");
    headers
        .iter()
        .filter(|(name, _)| !is_length_void || name.as_str() != "content-length")
        .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
        .collect()
}
