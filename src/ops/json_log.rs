use {
    super::{LogPipe, LogRate, Uptime},
    env_logger::{Builder, Env, Target},
    log::{
        Level, Record,
        kv::{Error, Key, Value, VisitSource},
    },
    serde_json::{Map, Value as Json},
    std::{
        io::Write,
        sync::{Mutex, atomic::Ordering},
    },
};

/// Default log filter: `info`, but less from libraries that log too much at that level.
const DEFAULT_FILTER: &str = "info,rocket=error,quinn=warn,rustls=warn,hyper=warn";

/// Limit of log lines a second; half of them are reserved for failures.
const MAX_LINES_PER_SECOND: f64 = 1000.0;

/// A line with this key counts as a failure, whatever its level.
const CODE_KEY: &str = "code";

/// Starts logging JSON lines to standard output, at a limited rate and without blocking on it.
/// `RUST_LOG` sets the filter.
pub fn start_logging(host: &str) {
    let pipe = match LogPipe::start(std::io::stdout()) {
        Ok(pipe) => pipe,
        Err(error) => {
            eprintln!("cannot start the log thread, nothing is logged: {error}");
            return;
        }
    };
    let host = host.to_owned();
    pipe.set_as_process_log();
    let dropped = pipe.dropped_lines();
    let uptime = Uptime::start();
    let rate = Mutex::new(LogRate::new(MAX_LINES_PER_SECOND, uptime.now()));
    let started = Builder::from_env(Env::default().default_filter_or(DEFAULT_FILTER))
        .target(Target::Pipe(Box::new(pipe)))
        .format(move |out, record| {
            let admitted = {
                let mut rate = rate.lock().expect("log rate lock");
                rate.admit(uptime.now(), is_failure(record))
            };
            match admitted {
                Some(left_out) => {
                    let dropped = dropped.swap(0, Ordering::Relaxed);
                    writeln!(out, "{}", line(&host, record, left_out + dropped))
                }
                None => Ok(()),
            }
        })
        .try_init();
    if started.is_err() {
        log::debug!("logging is already started");
    }
}

fn is_failure(record: &Record) -> bool {
    record.level() <= Level::Warn || record.key_values().get(Key::from_str(CODE_KEY)).is_some()
}

fn line(
    host: &str,
    record: &Record,
    left_out: u64,
) -> Json {
    let mut fields = Fields(Map::new());
    if left_out > 0 {
        fields.set("lines_left_out", left_out.into());
    }
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
