use {
    super::gateway::Gateway,
    crate::conf::DirectSettings,
    std::{sync::Arc, time::Duration},
    tokio::signal::unix::Signal,
};

/// How often the file is looked at without a signal.
const LOOK_EVERY: Duration = Duration::from_millis(1500);

/// Puts the settings file in force again when it changed: at a SIGHUP, and
/// without one. A file that is wrong is refused, and the settings stay.
pub async fn watch_settings(
    gateway: Arc<Gateway>,
    path: String,
    mut hangup: Signal,
) {
    let mut known = std::fs::read(&path).unwrap_or_default();
    loop {
        let why = tokio::select! {
            _ = hangup.recv() => "signal",
            () = tokio::time::sleep(LOOK_EVERY) => "change",
        };
        let text = std::fs::read(&path).unwrap_or_default();
        if text == known && why == "change" {
            continue;
        }
        known = text;
        match DirectSettings::read(&path) {
            Ok(settings) => {
                gateway.change_settings(settings);
                log::info!(why = why; "settings in force again");
            }
            Err(error) => {
                log::error!(code = error.code.number(), why = why; "settings refused: {error}");
            }
        }
    }
}
