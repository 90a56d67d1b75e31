//! Reading of requests and answers on plain sockets.

use std::{
    collections::BTreeMap,
    io::{self, BufRead},
};

/// A message whose head, and whose body if it has a length, were read.
#[derive(Debug, Default)]
pub struct Message {
    pub first: String, // the request or status line
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    /// Reads a message; none at the end of the connection before its first byte.
    pub fn read(reader: &mut impl BufRead) -> io::Result<Option<Self>> {
        let Some(mut message) = Self::read_head(reader)? else {
            return Ok(None);
        };
        let length = message.header("content-length").parse().unwrap_or(0);
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
        Ok(Some(message))
    }

    /// Reads a head; none at the end of the connection before its first byte.
    pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Self>> {
        let mut message = Self::default();
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        message.first = line.trim_end().to_owned();
        loop {
            line.clear();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            if line.trim_end().is_empty() {
                return Ok(Some(message));
            }
            if let Some((name, value)) = line.split_once(':') {
                let name = name.trim().to_ascii_lowercase();
                message.headers.insert(name, value.trim().to_owned());
            }
        }
    }

    pub fn header(
        &self,
        name: &str,
    ) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// The second word of the first line: the target of a request, the status of an answer.
    pub fn second_word(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}
