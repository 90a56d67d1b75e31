use {super::Labels, std::fmt};

/// One condition of a selector.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Term {
    In(String, Vec<String>),    // the label has one of these values
    NotIn(String, Vec<String>), // the label is absent or has a value that is not listed
    Exists(String),
    Absent(String),
}

impl Term {
    /// Whether these labels meet the condition.
    pub fn matches(
        &self,
        labels: &Labels,
    ) -> bool {
        let has_one_of = |name: &str, values: &[String]| {
            labels
                .get(name)
                .is_some_and(|value| values.iter().any(|v| v == value))
        };
        match self {
            Self::In(name, values) => has_one_of(name, values),
            Self::NotIn(name, values) => !has_one_of(name, values),
            Self::Exists(name) => labels.get(name).is_some(),
            Self::Absent(name) => labels.get(name).is_none(),
        }
    }
}

impl fmt::Display for Term {
    fn fmt(
        &self,
        f: &mut fmt::Formatter,
    ) -> fmt::Result {
        match self {
            Self::In(name, values) if values.len() == 1 => write!(f, "{name} = {}", values[0]),
            Self::In(name, values) => write!(f, "{name} in ({})", values.join(" ")),
            Self::NotIn(name, values) if values.len() == 1 => write!(f, "{name} != {}", values[0]),
            Self::NotIn(name, values) => write!(f, "{name} notin ({})", values.join(" ")),
            Self::Exists(name) => f.write_str(name),
            Self::Absent(name) => write!(f, "!{name}"),
        }
    }
}
