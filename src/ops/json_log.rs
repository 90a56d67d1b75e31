use {
    super::Uptime,
    env_logger::{Builder, Env},
    log::{
        Record,
        kv::{Error, Key, Value, VisitSource},
    },
    serde_json::{Map, Value as Json},
    std::io::Write,
};

/// Loggers of libraries that speak too much at the default level.
const QUIET: &str = "info,rocket=error,quinn=warn,rustls=warn,hyper=warn";

/// Sends logs as JSON lines to standard error. `RUST_LOG` sets the level.
pub fn start_logging(host: &str) {
    let host = host.to_owned();
    let started = Builder::from_env(Env::default().default_filter_or(QUIET))
        .format(move |out, record| writeln!(out, "{}", line(&host, record)))
        .try_init();
    if started.is_err() {
        log::debug!("logging was started before");
    }
}

fn line(
    host: &str,
    record: &Record,
) -> Json {
    let mut fields = Fields(Map::new());
    fields.set("unix_ms", Uptime::unix_millis().into());
    fields.set("level", record.level().as_str().into());
    fields.set("host", host.into());
    fields.set("target", record.target().into());
    fields.set("message", record.args().to_string().into());
    if record.key_values().visit(&mut fields).is_err() {
        fields.set("fields_cut", true.into());
    }
    Json::Object(fields.0)
}

struct Fields(Map<String, Json>);

impl Fields {
    fn set(
        &mut self,
        name: &str,
        value: Json,
    ) {
        self.0.insert(name.to_owned(), value);
    }
}

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(
        &mut self,
        key: Key<'kvs>,
        value: Value<'kvs>,
    ) -> Result<(), Error> {
        let json = if let Some(number) = value.to_u64() {
            number.into()
        } else if let Some(number) = value.to_f64() {
            number.into()
        } else {
            value.to_string().into()
        };
        self.set(key.as_str(), json);
        Ok(())
    }
}
