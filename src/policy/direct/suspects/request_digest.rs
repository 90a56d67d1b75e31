use {
    crate::policy::stable_hash,
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr},
};

/// Length of the text form.
const HEX_DIGITS: usize = 16;

/// Identifies equal requests, whatever their request ids: a hash of method, path and query, client
/// account and body. It is the same at every router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestDigest(pub u64);

impl RequestDigest {
    /// The digest of a request whose body was read completely.
    pub fn new(
        method: &str,
        target: &str,
        account: &str,
        body: &[u8],
    ) -> Self {
        Self(stable_hash(&(method, target, account, body)))
    }
}

impl FromStr for RequestDigest {
    type Err = ();

    /// Parses the 16 hexadecimal digits that logs show.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_hex = text.len() == HEX_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let number = is_hex.then(|| u64::from_str_radix(text, 16).ok()).flatten();
        number.map(Self).ok_or(())
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(
        &self,
        f: &mut fmt::Formatter,
    ) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
