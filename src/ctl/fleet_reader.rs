use {
    super::CtlError,
    crate::{
        codes::ResultCode,
        directory::{HOSTS_KEY, PlatformClient},
        fleet::{HostEntry, HostList},
        ops::{AuditEntry, ProcessStatus},
    },
    futures::future::join_all,
    getopts::Matches,
    reqwest::Client,
    serde::de::DeserializeOwned,
    std::{cell::RefCell, fs, time::Duration},
};

/// Time-out of a call to an operator port.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Calls the operator ports of all processes of a fleet, and records the hosts that do not answer.
pub struct FleetReader {
    hosts: HostList,
    http: Client,
    unreachable_hosts: RefCell<Vec<String>>,
}

impl FleetReader {
    /// Reads the host list from the platform or a file. Fails with
    /// `ResultCode::SettingsFileMissing` (10) for the file, `Usage` (90), `StartFailed` (93),
    /// `NothingFound` (94) if no list is published, or the code of the call to the platform's
    /// service: `PlatformDown` (80), `PlatformBudget` (81) or `PlatformReply` (82).
    pub async fn connect(matches: &Matches) -> Result<Self, CtlError> {
        Ok(Self {
            hosts: read_hosts(matches).await?,
            http: Client::builder()
                .no_proxy()
                .timeout(CALL_TIMEOUT)
                .build()
                .map_err(|error| CtlError::new(ResultCode::StartFailed, error))?,
            unreachable_hosts: RefCell::default(),
        })
    }

    /// The statuses of the processes that answer.
    pub async fn statuses(&self) -> Vec<ProcessStatus> {
        self.ask_all("status").await
    }

    /// The entries of the audit trails of the processes that answer.
    pub async fn audits(&self) -> Vec<AuditEntry> {
        let trails: Vec<Vec<AuditEntry>> = self.ask_all("audit").await;
        trails.into_iter().flatten().collect()
    }

    /// A text that names the hosts that did not answer; `None` if all did.
    pub fn unreachable(&self) -> Option<String> {
        let hosts = self.unreachable_hosts.borrow();
        (!hosts.is_empty()).then(|| format!("no answer from {}", hosts.join(", ")))
    }

    async fn ask_all<T: DeserializeOwned>(
        &self,
        page: &str,
    ) -> Vec<T> {
        let calls = self.hosts.hosts.iter().map(|host| self.ask(host, page));
        join_all(calls).await.into_iter().flatten().collect()
    }

    async fn ask<T: DeserializeOwned>(
        &self,
        host: &HostEntry,
        page: &str,
    ) -> Option<T> {
        let url = format!("http://{}/{page}", host.operator);
        let answer = async { self.http.get(url).send().await?.json().await }.await;
        match answer {
            Ok(answer) => Some(answer),
            Err(error) => {
                log::debug!("no answer from the operator port of {}: {error}", host.name);
                self.unreachable_hosts.borrow_mut().push(host.name.clone());
                None
            }
        }
    }
}

/// Reads the host list from the file of `--hosts`, or from the platform.
pub async fn read_hosts(matches: &Matches) -> Result<HostList, CtlError> {
    let text = if let Some(file) = matches.opt_str("hosts") {
        fs::read_to_string(&file).map_err(|error| {
            CtlError::new(ResultCode::SettingsFileMissing, format!("{file}: {error}"))
        })?
    } else {
        published_hosts(matches).await?
    };
    serde_json::from_str(&text).map_err(|error| CtlError::new(ResultCode::PlatformReply, error))
}

async fn published_hosts(matches: &Matches) -> Result<String, CtlError> {
    let address = matches
        .opt_str("platform")
        .ok_or_else(|| CtlError::usage("--platform or --hosts is required"))?
        .parse()
        .map_err(|_| CtlError::usage("--platform takes IP:PORT"))?;
    let watched = PlatformClient::new(address)?
        .read(HOSTS_KEY)
        .await?
        .ok_or_else(|| CtlError::new(ResultCode::NothingFound, "no host list is published"))?;
    Ok(watched.text)
}
