//! The configuration that operators publish (client accounts, classes, groups, labels and rules),
//! and the host list, of the granted form.

mod account;
mod account_id;
mod class;
mod fleet_config;
mod fleet_parser;
mod group;
mod group_kind;
mod host_entry;
mod host_list;
mod host_role;
mod host_state;
mod key_digest;
mod labels;
mod manifest;
mod placement;
mod request_labels;
mod revision;
mod rule;
mod selector;
mod term;
mod versioned_config;

pub use {
    account::Account,
    account_id::AccountId,
    class::Class,
    fleet_config::FleetConfig,
    fleet_parser::{parse_document, parse_fleet},
    group::Group,
    group_kind::GroupKind,
    host_entry::HostEntry,
    host_list::HostList,
    host_role::HostRole,
    host_state::HostState,
    key_digest::KeyDigest,
    labels::Labels,
    manifest::{Manifest, ManifestPart, sha256_hex},
    placement::{ExcludedBy, Exclusion, Placement},
    request_labels::{LABELS_HEADER, RequestLabels},
    revision::Revision,
    rule::Rule,
    selector::Selector,
    term::Term,
    versioned_config::VersionedConfig,
};
