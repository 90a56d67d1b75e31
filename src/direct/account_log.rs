use {
    crate::codes::ResultCode,
    std::{
        collections::{BTreeMap, HashMap},
        fmt::Write,
        sync::{Arc, Mutex},
    },
};

/// Accounts that are counted apart between two lines; requests of others count together.
const MAX_ACCOUNTS: usize = 256;

/// Accounts in a line, those that were refused most tokens.
const MAX_LOGGED_ACCOUNTS: usize = 8;

/// The name under which requests are logged whose account is unknown, or is not counted apart.
const OTHERS: &str = "-";

/// Counts what each account requested and was refused at this router, for a line once in a while.
#[derive(Default)]
pub struct AccountLog(Mutex<HashMap<Arc<str>, Tally>>); // a leaf lock

#[derive(Default)]
struct Tally {
    requested: Sum,
    served: Sum,
    refused: BTreeMap<u8, Sum>, // by number of the result code
}

#[derive(Default, Clone, Copy)]
struct Sum {
    requests: u32,
    tokens: f32,
}

impl Sum {
    fn add(
        &mut self,
        tokens: f32,
    ) {
        self.requests += 1;
        self.tokens += tokens;
    }
}

impl Tally {
    fn refused_tokens(&self) -> f32 {
        self.refused.values().map(|sum| sum.tokens).sum()
    }
}

impl AccountLog {
    /// Counts a request that was served, or refused with `refusal`.
    pub fn record(
        &self,
        account: Option<&Arc<str>>,
        tokens: f32,
        refusal: Option<ResultCode>,
    ) {
        let mut tallies = self.0.lock().expect("account log lock");
        let is_counted_apart =
            |name: &&Arc<str>| tallies.len() < MAX_ACCOUNTS || tallies.contains_key(*name);
        let name = account.filter(is_counted_apart).cloned();
        let tally = tallies.entry(name.unwrap_or_else(|| OTHERS.into()));
        let tally = tally.or_default();
        tally.requested.add(tokens);
        match refusal {
            Some(code) => tally.refused.entry(code.number()).or_default().add(tokens),
            None => tally.served.add(tokens),
        }
    }

    /// Logs what was counted since the last call, if requests were refused.
    pub fn write_line(&self) {
        let tallies = std::mem::take(&mut *self.0.lock().expect("account log lock"));
        let mut refused: Vec<(Arc<str>, Tally)> = tallies
            .into_iter()
            .filter(|(_, tally)| !tally.refused.is_empty())
            .collect();
        if refused.is_empty() {
            return;
        }
        refused.sort_by(|(_, one), (_, other)| {
            other.refused_tokens().total_cmp(&one.refused_tokens())
        });
        let left_out = refused.len().saturating_sub(MAX_LOGGED_ACCOUNTS);
        refused.truncate(MAX_LOGGED_ACCOUNTS);
        log::info!(
            accounts = format_tallies(&refused).as_str(), left_out = left_out;
            "requests and tokens of accounts: requested, served, refused by code"
        );
    }
}

/// For each account `NAME REQUESTS:TOKENS REQUESTS:TOKENS CODE=REQUESTS:TOKENS ...`, separated by
/// semicolons.
fn format_tallies(tallies: &[(Arc<str>, Tally)]) -> String {
    let mut text = String::new();
    for (name, tally) in tallies {
        if !text.is_empty() {
            text.push_str("; ");
        }
        text.push_str(name);
        for sum in [tally.requested, tally.served] {
            write_sum(&mut text, "", sum);
        }
        for (code, sum) in &tally.refused {
            write_sum(&mut text, &format!("{code}="), *sum);
        }
    }
    text
}

fn write_sum(
    text: &mut String,
    prefix: &str,
    sum: Sum,
) {
    write!(text, " {prefix}{}:{}", sum.requests, sum.tokens as u64).expect("writing to a string");
}
