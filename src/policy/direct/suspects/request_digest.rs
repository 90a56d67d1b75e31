use {
    crate::policy::stable_hash,
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr},
};

/// Hexadecimal digits in which it is written.
const DIGITS: usize = 16;

/// What makes two tries the same request, whatever their ids: method, path and query,
/// client account and body. The same at every router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestDigest(pub u64);

impl RequestDigest {
    /// The digest of a request that was read whole.
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

    /// Reads the 16 hexadecimal digits in which logs name it.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_hex = text.len() == DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
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
