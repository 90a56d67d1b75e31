use {crate::fleet::HostRole, std::fmt};

/// The last label of the name in each certificate of the fleet.
const DOMAIN: &str = "archmast";

/// The name in a process's certificate, `HOST.ROLE.archmast`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PeerName {
    pub host: String,
    pub role: HostRole,
}

impl PeerName {
    /// Creates a name.
    pub fn new(
        host: &str,
        role: HostRole,
    ) -> Self {
        Self {
            host: host.to_owned(),
            role,
        }
    }

    /// Parses a DNS name of a certificate; `None` if it is not of this form.
    pub fn parse(name: &str) -> Option<Self> {
        let rest = name.strip_suffix(DOMAIN)?.strip_suffix('.')?;
        let (host, role) = rest.rsplit_once('.')?;
        Some(Self::new(host, role.parse().ok()?))
    }
}

impl fmt::Display for PeerName {
    fn fmt(
        &self,
        f: &mut fmt::Formatter,
    ) -> fmt::Result {
        write!(f, "{}.{}.{DOMAIN}", self.host, self.role)
    }
}
