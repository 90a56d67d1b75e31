//! INI files, and the validated settings of each kind of process.

mod direct_settings;
mod errors;
mod ini_document;
mod ini_entry;
mod ini_section;
mod link_settings;
mod operator_settings;
mod platform_settings;
mod process_settings;
mod router_settings;
mod section_reader;
mod settings_file;
mod sidecar_settings;
mod units;

pub use {
    direct_settings::DirectSettings, errors::ConfError, ini_document::IniDocument,
    ini_entry::IniEntry, ini_section::IniSection, link_settings::LinkSettings,
    operator_settings::OperatorSettings, platform_settings::PlatformSettings,
    process_settings::ProcessSettings, router_settings::RouterSettings,
    section_reader::SectionReader, settings_file::SettingsFile, sidecar_settings::SidecarSettings,
};
