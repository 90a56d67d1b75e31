use {
    super::{
        call::cost,
        gateway::Gateway,
        request_reader::{find_route, header_text},
    },
    crate::routing::Route,
    hyper::http::request::Parts,
    std::sync::Arc,
};

/// Whose request it is and what it would cost, as far as its head tells.
#[derive(Default)]
pub struct CallOrigin {
    pub route: Option<Arc<Route>>,
    pub account: Option<Arc<str>>,
    pub tokens: f32,
}

impl CallOrigin {
    /// Reads the head of a request. Empty without a configuration.
    pub fn of(
        gateway: &Gateway,
        head: &Parts,
    ) -> Self {
        let Some(table) = gateway.catalog.config() else {
            return Self::default();
        };
        let key = header_text(&head.headers, &gateway.dialect.names.account_key);
        let prompt = (gateway.dialect.parse_prompt)(&head.headers);
        Self {
            route: find_route(&table, head).ok(),
            account: table.account(key).cloned(),
            tokens: cost(prompt.as_ref()),
        }
    }
}
