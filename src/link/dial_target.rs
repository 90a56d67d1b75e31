use {
    crate::keys::PeerName,
    std::{net::SocketAddr, str::FromStr},
};

/// A peer to connect to. Its certificate must carry exactly this name.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct DialTarget {
    pub name: PeerName,
    pub address: SocketAddr,
}

impl FromStr for DialTarget {
    type Err = ();

    /// Parses `HOST.ROLE@IP:PORT`.
    fn from_str(text: &str) -> Result<Self, ()> {
        let (name, address) = text.split_once('@').ok_or(())?;
        let (host, role) = name.rsplit_once('.').ok_or(())?;
        Ok(Self {
            name: PeerName::new(host, role.parse()?),
            address: address.parse().map_err(|_| ())?,
        })
    }
}
