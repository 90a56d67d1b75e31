use {
    std::io,
    tokio::signal::unix::{SignalKind, signal},
};

/// Takes over SIGHUP, whose default action ends the process and with it all its requests. Fails
/// if the handler cannot be installed.
pub fn ignore_hangups() -> io::Result<()> {
    let mut hangups = signal(SignalKind::hangup())?;
    tokio::spawn(async move {
        while hangups.recv().await.is_some() {
            log::warn!("SIGHUP ignored: settings are read when the process starts");
        }
    });
    Ok(())
}
