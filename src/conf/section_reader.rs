use {
    super::{
        ConfError, IniEntry, IniSection,
        units::{UnitFault, parse_duration, parse_size},
    },
    crate::codes::ResultCode,
    std::{cell::RefCell, collections::HashSet, ops::RangeInclusive, str::FromStr, time::Duration},
};

/// Reads typed values from one section and records which keys were read, to find unknown ones.
pub struct SectionReader<'d> {
    file: &'d str,
    section: &'d IniSection,
    fallback: Option<&'d IniSection>, // the same section of the default settings
    read_keys: RefCell<HashSet<String>>,
}

impl<'d> SectionReader<'d> {
    /// Creates a reader. Keys that `section` lacks are read from `fallback`.
    pub fn new(
        file: &'d str,
        section: &'d IniSection,
        fallback: Option<&'d IniSection>,
    ) -> Self {
        Self {
            file,
            section,
            fallback,
            read_keys: RefCell::default(),
        }
    }

    /// The value of a key; `None` if it is absent or empty.
    pub fn optional(
        &self,
        key: &str,
    ) -> Option<&'d str> {
        self.find(key)
            .map(|entry| entry.value.as_str())
            .filter(|value| !value.is_empty())
    }

    /// The value of a required key. Fails with `ResultCode::MissingKey` (14).
    pub fn text(
        &self,
        key: &str,
    ) -> Result<&'d str, ConfError> {
        self.optional(key)
            .ok_or_else(|| self.fault(ResultCode::MissingKey, key, "is required"))
    }

    /// A value parsed from its text. Fails with `ResultCode::MissingKey` (14) or `BadValue` (15);
    /// `expected` says in that error what the key takes.
    pub fn parsed<T: FromStr>(
        &self,
        key: &str,
        expected: &str,
    ) -> Result<T, ConfError> {
        let text = self.text(key)?;
        text.parse().map_err(|_| {
            self.fault(
                ResultCode::BadValue,
                key,
                &format!("\"{text}\" is not {expected}"),
            )
        })
    }

    /// A number within a range. Fails with `ResultCode::MissingKey` (14), `BadValue` (15) or
    /// `OutOfRange` (17).
    pub fn number<T>(
        &self,
        key: &str,
        range: RangeInclusive<T>,
    ) -> Result<T, ConfError>
    where
        T: FromStr + PartialOrd + std::fmt::Display + Copy,
    {
        let number = self.parsed(key, "a number")?;
        self.within(key, number, &range, &number.to_string())?;
        Ok(number)
    }

    /// A flag, `yes` or `no`. Fails with `ResultCode::MissingKey` (14) or `BadValue` (15).
    pub fn flag(
        &self,
        key: &str,
    ) -> Result<bool, ConfError> {
        match self.text(key)? {
            "yes" => Ok(true),
            "no" => Ok(false),
            other => Err(self.fault(
                ResultCode::BadValue,
                key,
                &format!("\"{other}\" is not yes or no"),
            )),
        }
    }

    /// A duration with a unit, within a range. Fails with `ResultCode::MissingKey` (14),
    /// `BadValue` (15), `WrongUnit` (16) or `OutOfRange` (17).
    pub fn duration(
        &self,
        key: &str,
        range: RangeInclusive<Duration>,
    ) -> Result<Duration, ConfError> {
        let text = self.text(key)?;
        let value = parse_duration(text).map_err(|fault| self.unit_fault(key, text, fault))?;
        if range.contains(&value) {
            return Ok(value);
        }
        let detail = format!("{text} is outside {:?} to {:?}", range.start(), range.end());
        Err(self.fault(ResultCode::OutOfRange, key, &detail))
    }

    /// A size with a unit, in bytes, within a range. Fails with `ResultCode::MissingKey` (14),
    /// `BadValue` (15), `WrongUnit` (16) or `OutOfRange` (17).
    pub fn size(
        &self,
        key: &str,
        range: RangeInclusive<u64>,
    ) -> Result<u64, ConfError> {
        let text = self.text(key)?;
        let value = parse_size(text).map_err(|fault| self.unit_fault(key, text, fault))?;
        self.within(key, value, &range, text)?;
        Ok(value)
    }

    /// Comma-separated words; empty if the key is absent.
    pub fn list(
        &self,
        key: &str,
    ) -> Vec<&'d str> {
        self.optional(key)
            .unwrap_or("")
            .split(',')
            .map(str::trim)
            .filter(|word| !word.is_empty())
            .collect()
    }

    /// Fails with `ResultCode::UnknownKey` (13) if the section has a key that was never read.
    pub fn finish(&self) -> Result<(), ConfError> {
        let read_keys = self.read_keys.borrow();
        match self
            .section
            .entries
            .iter()
            .find(|entry| !read_keys.contains(&entry.key))
        {
            None => Ok(()),
            Some(entry) => Err(self.fault(ResultCode::UnknownKey, &entry.key, "is not known here")),
        }
    }

    /// Creates an error about a key, with file, section and line; an empty `key` stands for the
    /// section.
    pub fn fault(
        &self,
        code: ResultCode,
        key: &str,
        detail: &str,
    ) -> ConfError {
        let line = self
            .section
            .entry(key)
            .map_or(self.section.line, |e| e.line);
        ConfError {
            code,
            file: self.file.to_owned(),
            section: self.section.name.clone(),
            key: key.to_owned(),
            line,
            detail: detail.to_owned(),
        }
    }

    fn find(
        &self,
        key: &str,
    ) -> Option<&'d IniEntry> {
        self.read_keys.borrow_mut().insert(key.to_owned());
        self.section
            .entry(key)
            .or_else(|| self.fallback.and_then(|section| section.entry(key)))
    }

    fn within<T: PartialOrd + std::fmt::Display>(
        &self,
        key: &str,
        value: T,
        range: &RangeInclusive<T>,
        text: &str,
    ) -> Result<(), ConfError> {
        if range.contains(&value) {
            return Ok(());
        }
        let detail = format!("{text} is outside {} to {}", range.start(), range.end());
        Err(self.fault(ResultCode::OutOfRange, key, &detail))
    }

    fn unit_fault(
        &self,
        key: &str,
        text: &str,
        fault: UnitFault,
    ) -> ConfError {
        match fault {
            UnitFault::Number => self.fault(
                ResultCode::BadValue,
                key,
                &format!("\"{text}\" does not start with a number"),
            ),
            UnitFault::Unit => self.fault(
                ResultCode::WrongUnit,
                key,
                &format!("\"{text}\" lacks a unit this key takes"),
            ),
        }
    }
}
