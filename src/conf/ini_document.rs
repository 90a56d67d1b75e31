use {
    super::{ConfError, IniEntry, IniSection},
    crate::codes::ResultCode,
    ini::{Ini, ParseOption, Properties},
    std::{collections::HashSet, fs},
};

/// A parsed INI file, with the line numbers of its sections and entries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IniDocument {
    pub file: String, // name for error messages
    pub sections: Vec<IniSection>,
}

impl IniDocument {
    /// Reads and parses a file. Fails with `ResultCode::SettingsFileMissing` (10),
    /// `SettingsSyntax` (11), `UnknownSection` (12) or `DuplicateKey` (18).
    pub fn read(file: &str) -> Result<Self, ConfError> {
        let text = fs::read_to_string(file).map_err(|error| {
            ConfError::of_file(ResultCode::SettingsFileMissing, file, error.to_string())
        })?;
        Self::parse(file, &text)
    }

    /// Parses a text; `file` is its name for errors. Fails with `ResultCode::SettingsSyntax` (11),
    /// `UnknownSection` (12) if a key stands before the first section, or `DuplicateKey` (18).
    pub fn parse(
        file: &str,
        text: &str,
    ) -> Result<Self, ConfError> {
        let options = ParseOption {
            enabled_quote: false,
            enabled_escape: false,
            ..ParseOption::default()
        };
        let ini = Ini::load_from_str_opt(text, options).map_err(|error| ConfError {
            line: error.line + 1,
            ..ConfError::of_file(ResultCode::SettingsSyntax, file, error.msg.to_string())
        })?;
        let mut lines = LineFinder::new(text);
        let mut sections = Vec::new();
        for (name, properties) in ini.iter() {
            let section = match name {
                Some(name) => section(name, properties, &mut lines),
                None if properties.is_empty() => continue,
                None => return Err(entry_outside_section(file, properties)),
            };
            sections.push(section);
        }
        let document = Self {
            file: file.to_owned(),
            sections,
        };
        document.refuse_duplicates()?;
        Ok(document)
    }

    /// The section with this name.
    pub fn section(
        &self,
        name: &str,
    ) -> Option<&IniSection> {
        self.sections.iter().find(|section| section.name == name)
    }

    fn refuse_duplicates(&self) -> Result<(), ConfError> {
        let mut names = HashSet::new();
        for section in &self.sections {
            if !names.insert(section.name.as_str()) {
                return Err(self.duplicate(section, "", section.line));
            }
            let mut keys = HashSet::new();
            for entry in &section.entries {
                if !keys.insert(entry.key.as_str()) {
                    return Err(self.duplicate(section, &entry.key, entry.line));
                }
            }
        }
        Ok(())
    }

    fn duplicate(
        &self,
        section: &IniSection,
        key: &str,
        line: usize,
    ) -> ConfError {
        ConfError {
            code: ResultCode::DuplicateKey,
            file: self.file.clone(),
            section: section.name.clone(),
            key: key.to_owned(),
            line,
            detail: "stands twice".to_owned(),
        }
    }
}

fn section(
    name: &str,
    properties: &Properties,
    lines: &mut LineFinder,
) -> IniSection {
    let line = lines.next_header(name);
    let entries = properties
        .iter()
        .map(|(key, value)| IniEntry {
            key: key.to_owned(),
            value: value.trim().to_owned(),
            line: lines.next_key(key),
        })
        .collect();
    IniSection {
        name: name.to_owned(),
        line,
        entries,
    }
}

fn entry_outside_section(
    file: &str,
    properties: &Properties,
) -> ConfError {
    let key = properties.iter().next().map_or("", |(key, _)| key);
    ConfError {
        key: key.to_owned(),
        ..ConfError::of_file(
            ResultCode::UnknownSection,
            file,
            "a key stands before the first section",
        )
    }
}

/// Finds the line numbers of sections and keys in order, since the INI library does not keep them.
struct LineFinder<'t> {
    lines: Vec<&'t str>,
    next: usize, // index of the line to search from
}

impl<'t> LineFinder<'t> {
    fn new(text: &'t str) -> Self {
        Self {
            lines: text.lines().map(str::trim).collect(),
            next: 0,
        }
    }

    fn next_header(
        &mut self,
        name: &str,
    ) -> usize {
        self.advance(|line| {
            line.strip_prefix('[')
                .and_then(|rest| rest.split(']').next())
                .is_some_and(|found| found.trim() == name)
        })
    }

    fn next_key(
        &mut self,
        key: &str,
    ) -> usize {
        self.advance(|line| {
            line.split(['=', ':'])
                .next()
                .is_some_and(|found| found.trim() == key)
        })
    }

    fn advance(
        &mut self,
        matches: impl Fn(&str) -> bool,
    ) -> usize {
        let found = self.lines[self.next.min(self.lines.len())..]
            .iter()
            .position(|line| matches(line));
        match found {
            Some(offset) => {
                self.next += offset + 1;
                self.next
            }
            None => 0,
        }
    }
}
