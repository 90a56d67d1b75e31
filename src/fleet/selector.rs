use {
    super::{Labels, Term, labels::is_word},
    std::{fmt, str::FromStr},
};

/// Conditions on labels, all of which must hold. A selector without conditions matches all labels.
///
/// Example: `lot = yvr, tier in (gold silver), zone != a, model, !retired`
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Selector(Vec<Term>);

impl Selector {
    /// Whether these labels meet every condition.
    pub fn matches(
        &self,
        labels: &Labels,
    ) -> bool {
        self.0.iter().all(|term| term.matches(labels))
    }

    /// The conditions.
    pub fn terms(&self) -> &[Term] {
        &self.0
    }
}

impl FromStr for Selector {
    type Err = String; // the term that is invalid

    fn from_str(text: &str) -> Result<Self, String> {
        text.split(',')
            .map(str::trim)
            .filter(|term| !term.is_empty())
            .map(|term| parse_term(term).ok_or_else(|| term.to_owned()))
            .collect::<Result<_, _>>()
            .map(Self)
    }
}

impl fmt::Display for Selector {
    fn fmt(
        &self,
        f: &mut fmt::Formatter,
    ) -> fmt::Result {
        let terms: Vec<String> = self.0.iter().map(Term::to_string).collect();
        f.write_str(&terms.join(", "))
    }
}

fn parse_term(text: &str) -> Option<Term> {
    if let Some(name) = text.strip_prefix('!') {
        return parse_word(name).map(Term::Absent);
    }
    if let Some((name, value)) = text.split_once("!=") {
        return Some(Term::NotIn(parse_word(name)?, vec![parse_word(value)?]));
    }
    if let Some((name, value)) = text.split_once('=') {
        return Some(Term::In(parse_word(name)?, vec![parse_word(value)?]));
    }
    if let Some((name, values)) = text.split_once(" notin ") {
        return Some(Term::NotIn(parse_word(name)?, parse_values(values)?));
    }
    if let Some((name, values)) = text.split_once(" in ") {
        return Some(Term::In(parse_word(name)?, parse_values(values)?));
    }
    parse_word(text).map(Term::Exists)
}

fn parse_word(text: &str) -> Option<String> {
    let text = text.trim();
    is_word(text).then(|| text.to_owned())
}

fn parse_values(text: &str) -> Option<Vec<String>> {
    let inner = text.trim().strip_prefix('(')?.strip_suffix(')')?;
    let values: Vec<String> = inner
        .split_whitespace()
        .map(parse_word)
        .collect::<Option<_>>()?;
    (!values.is_empty()).then_some(values)
}
