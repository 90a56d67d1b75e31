use super::{Account, Class, Group, Labels};

/// The header in which a caller adds labels to one request.
pub const LABELS_HEADER: &str = "x-archmast-labels";

/// Builds the labels that rules select a request by.
///
/// The labels set here (`account`, `class`, `group`, `model`) override those of the account, and
/// these override the labels that the caller sends.
pub struct RequestLabels;

impl RequestLabels {
    /// Builds the labels of one request. `sent` are those that the caller sent.
    pub fn build(
        account: &Account,
        class: &Class,
        group: &Group,
        model: Option<&str>,
        sent: &Labels,
    ) -> Labels {
        let mut labels = sent.clone();
        labels.extend(&account.labels);
        labels.set("account", &account.name);
        labels.set("class", &class.name);
        labels.set("group", &group.name);
        if let Some(model) = model {
            labels.set("model", model);
        }
        labels
    }
}
