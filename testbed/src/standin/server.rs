use {
    rocket::{
        Build, Orbit, Rocket,
        config::{Config, Ident, LogLevel},
        fairing::AdHoc,
    },
    std::{
        net::{IpAddr, SocketAddr},
        sync::{Arc, Mutex},
    },
    tokio::{sync::oneshot, task::JoinHandle},
};

/// A running stand-in server, stopped when this is dropped.
pub struct BoundServer {
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for BoundServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Rocket's settings for a stand-in. With port 0 the system chooses the port.
pub fn standin_config(address: SocketAddr) -> Config {
    Config {
        address: address.ip(),
        port: address.port(),
        ident: Ident::none(),
        log_level: LogLevel::Off,
        cli_colors: false,
        keep_alive: 5,
        shutdown: rocket::config::Shutdown {
            ctrlc: false,
            signals: Default::default(),
            grace: 0,
            mercy: 0,
            force: false,
            ..Default::default()
        },
        ..Config::release_default()
    }
}

/// Starts a server in the background on a port that the system chooses, and waits
/// until it listens.
pub async fn bind_server(
    ip: IpAddr,
    build: impl FnOnce(Config) -> Rocket<Build>,
) -> BoundServer {
    let (sender, receiver) = oneshot::channel();
    let sender = Arc::new(Mutex::new(Some(sender)));
    let send_address = AdHoc::on_liftoff("address", move |rocket: &Rocket<Orbit>| {
        let address = SocketAddr::new(rocket.config().address, rocket.config().port);
        if let Some(sender) = sender.lock().expect("sender lock").take() {
            sender.send(address).expect("the starter waits");
        }
        Box::pin(async {})
    });
    let rocket = build(standin_config(SocketAddr::new(ip, 0))).attach(send_address);
    let task = tokio::spawn(async move {
        if let Err(error) = rocket.launch().await {
            panic!("a stand-in cannot serve: {error}");
        }
    });
    let address = receiver.await.expect("the stand-in starts");
    BoundServer { address, task }
}
