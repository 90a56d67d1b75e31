use {
    ring::digest,
    std::{fmt, str::FromStr},
};

/// The SHA-256 of a caller's API key. The key itself is never stored or logged.
///
/// Accounts are looked up by digest, so that the time of a look-up reveals nothing about keys.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// The digest of a key, as the caller sends it.
    pub fn of_key(key: &str) -> Self {
        let digest = digest::digest(&digest::SHA256, key.as_bytes());
        let mut bytes = [0; 32];
        bytes.copy_from_slice(digest.as_ref());
        Self(bytes)
    }
}

impl FromStr for KeyDigest {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        if text.len() != 64 || !text.is_ascii() {
            return Err(());
        }
        let mut bytes = [0; 32];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let pair = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(pair, 16).map_err(|_| ())?;
        }
        Ok(Self(bytes))
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(
        &self,
        f: &mut fmt::Formatter,
    ) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(
        &self,
        f: &mut fmt::Formatter,
    ) -> fmt::Result {
        write!(f, "KeyDigest({self})")
    }
}
