use {
    super::{sidecar::Sidecar, slot_decision::SlotDecision},
    crate::{
        codes::ResultCode,
        fleet::{FleetConfig, Group, Labels, RequestLabels},
        link::Peer,
        policy::{Admission, Arrival, ExchangeId, Finished, KeyStatus, SidecarExchange},
        wire::{AnswerFrame, RequestHead, encode_frame},
    },
    bytes::Bytes,
    quinn::{RecvStream, SendStream},
    std::sync::Arc,
    tokio::io::AsyncReadExt,
};

/// The largest request body, independent of the routers' `max_body` setting.
const MAX_BODY_BYTES: u64 = 64 << 20;

/// Serves one request from a router until its answer is delivered.
pub async fn serve_exchange(
    sidecar: Arc<Sidecar>,
    peer: Arc<Peer>,
    head: RequestHead,
    mut send: SendStream,
    mut recv: RecvStream,
) {
    let _open = sidecar.count_open();
    let Some(body) = read_body(&mut recv, head.body_len).await else {
        return; // incomplete or too large, never started
    };
    let exchange = Exchange {
        id: sidecar.next_exchange_id(),
        sidecar: &sidecar,
        peer: &peer,
        head: &head,
        state: SidecarExchange::Received,
    };
    exchange.run(body, &mut send).await;
    if send.finish().is_ok() {
        // Waits for the router's acknowledgement: a planned stop must not cut the answer.
        let _acknowledged = send.stopped().await;
    }
}

pub(super) struct Exchange<'x> {
    pub(super) id: ExchangeId,
    pub(super) sidecar: &'x Arc<Sidecar>,
    pub(super) peer: &'x Peer,
    pub(super) head: &'x RequestHead,
    pub(super) state: SidecarExchange,
}

impl Exchange<'_> {
    async fn run(
        mut self,
        body: Bytes,
        send: &mut SendStream,
    ) {
        let group = match self.check_placement() {
            Ok(group) => group,
            Err(code) => return self.reject(code, send).await,
        };
        if let Err(code) = self.claim_key() {
            return self.reject(code, send).await;
        }
        match self.acquire_slot(send).await {
            Ok(()) => self.run_upstream(&group, body, send).await,
            Err(code) => {
                self.release_key();
                self.reject(code, send).await;
            }
        }
    }

    /// Checks incarnation and placement against the sidecar's own configuration, so that a
    /// router with an old configuration cannot place requests wrongly.
    fn check_placement(&self) -> Result<Group, ResultCode> {
        if self.head.incarnation != self.sidecar.node.incarnation {
            return Err(ResultCode::GrantExpired);
        }
        let config = self
            .sidecar
            .node
            .config
            .current()
            .ok_or(ResultCode::NoConfiguration)?;
        let group = config
            .config
            .group(&self.head.group)
            .ok_or(ResultCode::PlacementRefused)?;
        if self.is_admitted(&config.config, group) {
            Ok(group.clone())
        } else {
            Err(ResultCode::PlacementRefused)
        }
    }

    fn is_admitted(
        &self,
        config: &FleetConfig,
        group: &Group,
    ) -> bool {
        let (Some(account), Some(class)) = (
            config.account(self.head.account),
            config.class(&self.head.class),
        ) else {
            return false;
        };
        let mut caller_labels = Labels::default();
        for (name, value) in &self.head.labels {
            caller_labels.set(name, value);
        }
        let model = self.head.model.as_deref();
        let labels = RequestLabels::build(account, class, group, model, &caller_labels);
        let node = &self.sidecar.node;
        config.admits(group, &labels, &node.host, &node.zone)
    }

    fn claim_key(&self) -> Result<(), ResultCode> {
        let Some(key) = &self.head.idempotency_key else {
            return Ok(());
        };
        let now = self.sidecar.node.now();
        let mut keys = self.sidecar.idempotency_keys.lock().expect("key lock");
        match keys.begin(now, self.head.account, key) {
            KeyStatus::Fresh => Ok(()),
            KeyStatus::InProgress => Err(ResultCode::KeyInProgress),
            KeyStatus::Ran => Err(ResultCode::KeyAlreadyRan),
            KeyStatus::Unsure => Err(ResultCode::KeyMemoryYoung),
        }
    }

    pub(super) fn release_key(&self) {
        if let Some(key) = &self.head.idempotency_key {
            let mut keys = self.sidecar.idempotency_keys.lock().expect("key lock");
            keys.not_run(self.head.account, key);
        }
    }

    pub(super) fn record_key_ran(&self) {
        if let Some(key) = &self.head.idempotency_key {
            let now = self.sidecar.node.now();
            let mut keys = self.sidecar.idempotency_keys.lock().expect("key lock");
            keys.ran(now, self.head.account, key);
        }
    }

    /// Waits for a slot, or until the router cancels the request.
    async fn acquire_slot(
        &mut self,
        send: &mut SendStream,
    ) -> Result<(), ResultCode> {
        let decision = match self.sidecar.admit(&Arrival {
            exchange: self.id,
            router: self.sidecar.router_number(&self.peer.host),
            account: self.head.account,
            grant: self.head.grant,
        }) {
            (Admission::Refused(code), _) => return Err(code),
            (Admission::Start, _) => SlotDecision::Start,
            (Admission::Ready, None) => SlotDecision::HandedBack,
            (Admission::Ready, Some(receiver)) => tokio::select! {
                decision = receiver => decision.unwrap_or(SlotDecision::HandedBack),
                _ = send.stopped() => {
                    self.finish(Finished::NotRun);
                    return Err(ResultCode::RequestCancelled);
                }
            },
        };
        match decision {
            SlotDecision::Start if self.peer.is_open() && self.state.start() => Ok(()),
            SlotDecision::Start => {
                self.finish(Finished::NotRun);
                Err(ResultCode::RequestCancelled)
            }
            SlotDecision::HandedBack => Err(ResultCode::NotStarted),
        }
    }

    pub(super) fn finish(
        &self,
        finished: Finished,
    ) {
        self.sidecar.finish(self.id, finished);
    }

    async fn reject(
        &mut self,
        code: ResultCode,
        send: &mut SendStream,
    ) {
        if self.state.hand_back() {
            send_frame(send, &AnswerFrame::NotRun(code)).await;
        }
    }
}

async fn read_body(
    recv: &mut RecvStream,
    length: u64,
) -> Option<Bytes> {
    if length > MAX_BODY_BYTES {
        return None;
    }
    let mut body = Vec::new();
    recv.take(length).read_to_end(&mut body).await.ok()?;
    (body.len() as u64 == length).then(|| body.into())
}

/// Sends a frame. False if the router no longer reads the stream.
pub(super) async fn send_frame(
    send: &mut SendStream,
    frame: &AnswerFrame,
) -> bool {
    match encode_frame(frame) {
        Ok(bytes) => send.write_all(&bytes).await.is_ok(),
        Err(error) => {
            log::error!(code = error.code.number(); "answer frame not sent: {error}");
            false
        }
    }
}
