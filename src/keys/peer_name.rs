use {crate::fleet::HostRole, std::fmt};

/// The domain that marks a certificate as the fleet's.
const DOMAIN: &str = "archmast";

/// Who a certificate says its holder is: `HOST.ROLE.archmast`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PeerName {
    pub host: String,
    pub role: HostRole,
}

impl PeerName {
    /// The host with its role.
    pub fn new(
        host: &str,
        role: HostRole,
    ) -> Self {
        Self {
            host: host.to_owned(),
            role,
        }
    }

    /// The name in a certificate, if it is one of the fleet's.
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
