use {
    super::{ConfError, IniDocument, SectionReader},
    crate::codes::ResultCode,
};

/// A settings file, on top of the default settings.
///
/// The file of default settings also serves as the schema: sections and keys that it lacks are
/// unknown, and rejected.
pub struct SettingsFile {
    user: IniDocument,
    defaults: IniDocument,
}

impl SettingsFile {
    /// Reads `path` on top of the default settings, whose text is `shipped`. Fails with a code from
    /// `ResultCode::SettingsFileMissing` (10) to `UnknownKey` (13), or with `DuplicateKey` (18).
    pub fn read(
        path: &str,
        shipped: &str,
    ) -> Result<Self, ConfError> {
        Self::new(IniDocument::read(path)?, shipped)
    }

    /// Puts a parsed file on top of the default settings, whose text is `shipped`. Fails with
    /// `ResultCode::UnknownSection` (12) or `UnknownKey` (13).
    pub fn new(
        mut user: IniDocument,
        shipped: &str,
    ) -> Result<Self, ConfError> {
        let defaults = IniDocument::parse("shipped defaults", shipped)?;
        refuse_unknown(&user, &defaults)?;
        for section in &defaults.sections {
            if user.section(&section.name).is_none() {
                user.sections.push(super::IniSection {
                    name: section.name.clone(),
                    line: 0,
                    entries: Vec::new(),
                });
            }
        }
        Ok(Self { user, defaults })
    }

    /// Returns a reader of a section. Fails with `ResultCode::UnknownSection` (12) if the default
    /// settings do not have it.
    pub fn section(
        &self,
        name: &str,
    ) -> Result<SectionReader<'_>, ConfError> {
        let section = self.user.section(name).ok_or_else(|| {
            ConfError::of_file(
                ResultCode::UnknownSection,
                &self.user.file,
                format!("no section [{name}]"),
            )
        })?;
        Ok(SectionReader::new(
            &self.user.file,
            section,
            self.defaults.section(name),
        ))
    }
}

fn refuse_unknown(
    user: &IniDocument,
    defaults: &IniDocument,
) -> Result<(), ConfError> {
    for section in &user.sections {
        let known = defaults.section(&section.name);
        let reader = SectionReader::new(&user.file, section, known);
        let Some(known) = known else {
            let fault = reader.fault(ResultCode::UnknownSection, "", "is not known here");
            return Err(fault);
        };
        for entry in &section.entries {
            if known.entry(&entry.key).is_none() {
                return Err(reader.fault(ResultCode::UnknownKey, &entry.key, "is not known here"));
            }
        }
    }
    Ok(())
}
