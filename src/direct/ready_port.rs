use {
    super::gateway::Gateway,
    crate::ops::quiet_config,
    rocket::{
        Data, Ignite, Request, Rocket, Route, async_trait,
        http::{Method, Status},
        route::{Handler, Outcome},
    },
    std::sync::Arc,
};

/// Answers the load balancer's health checks: 200 if this router is ready for callers.
#[derive(Clone)]
struct ReadyPort {
    gateway: Arc<Gateway>,
}

/// The server for the load balancer's health checks, ready to launch. Fails if the
/// configured address or path is unusable.
pub async fn ready_server(gateway: Arc<Gateway>) -> Result<Rocket<Ignite>, rocket::Error> {
    let config = quiet_config(gateway.settings().ready_listen);
    let path = gateway.settings().ready_path.clone();
    let route = Route::new(Method::Get, &path, ReadyPort { gateway });
    rocket::custom(config)
        .mount("/", vec![route])
        .ignite()
        .await
}

#[async_trait]
impl Handler for ReadyPort {
    async fn handle<'r>(
        &self,
        request: &'r Request<'_>,
        _data: Data<'r>,
    ) -> Outcome<'r> {
        let status = if self.gateway.is_ready() {
            Status::Ok
        } else {
            Status::ServiceUnavailable
        };
        Outcome::from(request, status)
    }
}
