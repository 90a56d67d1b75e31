use {
    super::{sidecar::Sidecar, turn::Turn},
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

/// The largest request body, whatever the router allows.
const MAX_BODY: u64 = 64 << 20;

/// Serves one request that a router sent, to its end.
pub async fn serve_exchange(
    sidecar: Arc<Sidecar>,
    peer: Arc<Peer>,
    head: RequestHead,
    mut send: SendStream,
    mut recv: RecvStream,
) {
    let _open = sidecar.count_open();
    let Some(body) = read_body(&mut recv, head.body_len).await else {
        return; // cut before it was whole: never started
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
        // Until the router has everything, a planned stop must wait.
        let _all_received = send.stopped().await;
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
        let group = match self.check() {
            Ok(group) => group,
            Err(code) => return self.refuse(code, send).await,
        };
        if let Err(code) = self.begin_key() {
            return self.refuse(code, send).await;
        }
        match self.take_slot(send).await {
            Ok(()) => self.run_upstream(&group, body, send).await,
            Err(code) => {
                self.forget_key();
                self.refuse(code, send).await;
            }
        }
    }

    /// The sidecar's own checks, by its own configuration: a stale router
    /// cannot place work wrongly.
    fn check(&self) -> Result<Group, ResultCode> {
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
        if self.admitted(&config.config, group) {
            Ok(group.clone())
        } else {
            Err(ResultCode::PlacementRefused)
        }
    }

    fn admitted(
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
        let mut sent = Labels::default();
        for (name, value) in &self.head.labels {
            sent.set(name, value);
        }
        let model = self.head.model.as_deref();
        let labels = RequestLabels::build(account, class, group, model, &sent);
        let node = &self.sidecar.node;
        config.admits(group, &labels, &node.host, &node.zone)
    }

    fn begin_key(&self) -> Result<(), ResultCode> {
        let Some(key) = &self.head.once_key else {
            return Ok(());
        };
        let now = self.sidecar.node.now();
        let mut keys = self.sidecar.keys.lock().expect("key lock");
        match keys.begin(now, self.head.account, key) {
            KeyStatus::Fresh => Ok(()),
            KeyStatus::InProgress => Err(ResultCode::KeyInProgress),
            KeyStatus::Ran => Err(ResultCode::KeyAlreadyRan),
            KeyStatus::Unsure => Err(ResultCode::KeyMemoryYoung),
        }
    }

    pub(super) fn forget_key(&self) {
        if let Some(key) = &self.head.once_key {
            let mut keys = self.sidecar.keys.lock().expect("key lock");
            keys.not_run(self.head.account, key);
        }
    }

    pub(super) fn remember_key(&self) {
        if let Some(key) = &self.head.once_key {
            let now = self.sidecar.node.now();
            let mut keys = self.sidecar.keys.lock().expect("key lock");
            keys.ran(now, self.head.account, key);
        }
    }

    /// Waits for a slot, unless the router gives the request up first.
    async fn take_slot(
        &mut self,
        send: &mut SendStream,
    ) -> Result<(), ResultCode> {
        let turn = match self.sidecar.arrive(&Arrival {
            exchange: self.id,
            router: self.sidecar.router_key(&self.peer.host),
            account: self.head.account,
            grant: self.head.grant,
        }) {
            (Admission::Refused(code), _) => return Err(code),
            (Admission::Start, _) => Turn::Start,
            (Admission::Ready, None) => Turn::HandedBack,
            (Admission::Ready, Some(receiver)) => tokio::select! {
                turn = receiver => turn.unwrap_or(Turn::HandedBack),
                _ = send.stopped() => {
                    self.finish(Finished::NotRun);
                    return Err(ResultCode::RequestCancelled);
                }
            },
        };
        match turn {
            Turn::Start if self.peer.is_open() && self.state.start() => Ok(()),
            Turn::Start => {
                self.finish(Finished::NotRun);
                Err(ResultCode::RequestCancelled)
            }
            Turn::HandedBack => Err(ResultCode::NotStarted),
        }
    }

    pub(super) fn finish(
        &self,
        finished: Finished,
    ) {
        self.sidecar.finish(self.id, finished);
    }

    async fn refuse(
        &mut self,
        code: ResultCode,
        send: &mut SendStream,
    ) {
        if self.state.hand_back() {
            answer(send, &AnswerFrame::NotRun(code)).await;
        }
    }
}

async fn read_body(
    recv: &mut RecvStream,
    length: u64,
) -> Option<Bytes> {
    if length > MAX_BODY {
        return None;
    }
    let mut body = Vec::new();
    recv.take(length).read_to_end(&mut body).await.ok()?;
    (body.len() as u64 == length).then(|| body.into())
}

/// Sends a frame. False if the router does not take it any more.
pub(super) async fn answer(
    send: &mut SendStream,
    frame: &AnswerFrame,
) -> bool {
    match encode_frame(frame) {
        Ok(bytes) => send.write_all(&bytes).await.is_ok(),
        Err(error) => {
            log::error!(code = error.code.number(); "answer not sent: {error}");
            false
        }
    }
}
