use {
    super::gateway::Gateway,
    crate::conf::DirectSettings,
    std::{sync::Arc, time::Duration},
    tokio::signal::unix::Signal,
};

/// How often the settings file is checked for changes.
const CHECK_INTERVAL: Duration = Duration::from_millis(1500);

/// Reloads the settings file on SIGHUP and when its content changes. An invalid file is
/// rejected and the current settings stay.
pub async fn watch_settings(
    gateway: Arc<Gateway>,
    path: String,
    mut hangup: Signal,
) {
    let mut current = std::fs::read(&path).unwrap_or_default();
    loop {
        let trigger = tokio::select! {
            _ = hangup.recv() => "signal",
            () = tokio::time::sleep(CHECK_INTERVAL) => "change",
        };
        let text = std::fs::read(&path).unwrap_or_default();
        if text == current && trigger == "change" {
            continue;
        }
        current = text;
        match DirectSettings::read(&path) {
            Ok(settings) => {
                gateway.change_settings(settings);
                log::info!(why = trigger; "settings in force again");
            }
            Err(error) => {
                log::error!(code = error.code.number(), why = trigger; "settings refused: {error}");
            }
        }
    }
}
