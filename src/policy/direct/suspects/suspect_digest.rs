use {
    crate::policy::stable_hash,
    serde::{Deserialize, Serialize},
    std::{fmt, hash::Hash, str::FromStr},
};

/// Length of the text form.
const HEX_DIGITS: usize = 16;

/// Identifies a request, or a part of prompts, during which replicas crashed. It is the same at
/// every router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SuspectDigest(pub u64);

impl SuspectDigest {
    /// The digest of a request whose body was read completely. Equal requests have the same one,
    /// whatever their request ids. The body hashes as a slice of its bytes does.
    pub fn of_request(
        method: &str,
        target: &str,
        account: &str,
        body: &(impl Hash + ?Sized),
    ) -> Self {
        Self(stable_hash(&(method, target, account, body)))
    }

    /// The digest of a part of the prompts that replicas of a service get, whoever sends it.
    pub fn of_part(
        service: &str,
        part: u64,
    ) -> Self {
        Self(stable_hash(&(service, part)))
    }
}

impl FromStr for SuspectDigest {
    type Err = ();

    /// Parses the 16 hexadecimal digits that logs show.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_hex = text.len() == HEX_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let number = is_hex.then(|| u64::from_str_radix(text, 16).ok()).flatten();
        number.map(Self).ok_or(())
    }
}

impl fmt::Display for SuspectDigest {
    fn fmt(
        &self,
        f: &mut fmt::Formatter,
    ) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
