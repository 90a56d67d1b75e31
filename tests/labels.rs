//! Labels, selectors and placement by rules.

use {
    archmast::{
        conf::IniDocument,
        fleet::{
            AccountId, ExcludedBy, HostEntry, HostRole, HostState, Labels, RequestLabels, Selector,
            parse_document,
        },
    },
    proptest::prelude::*,
};

const CONFIG: &str = "\
[class chat]
patience = 5 s
[class night]
patience = 1 min
[group drafting]
kind = model
models = drafter
prompt_weight = 0.2
generated_weight = 1
hosts = kind = model
[account lot-a]
share = 2
class = chat
labels = lot=a
[account lot-b]
share = 1
class = chat
labels = lot=b, night=yes
[rule a-stays-home]
requests = lot = a
hosts = zone in (z1 z2)
[rule night]
requests = night = yes
class = night
share = 5
";

fn labels(text: &str) -> Labels {
    Labels::parse(text).expect("labels")
}

fn host(
    name: &str,
    zone: &str,
) -> HostEntry {
    HostEntry {
        name: name.to_owned(),
        role: HostRole::Sidecar,
        zone: zone.to_owned(),
        link: "127.0.0.1:1".parse().expect("address"),
        operator: "127.0.0.1:2".parse().expect("address"),
        state: HostState::Live,
    }
}

#[test]
fn selectors_know_equality_sets_and_absence() {
    let matches = |selector: &str, text: &str| {
        let selector: Selector = selector.parse().expect("selector");
        selector.matches(&labels(text))
    };
    assert!(matches("", "a=1"));
    assert!(matches("a = 1, b in (x y), !c", "a=1, b=y"));
    assert!(!matches("a = 1", "a=2"));
    assert!(matches("a != 1", "b=1"));
    assert!(!matches("a notin (1 2)", "a=2"));
    assert!(!matches("!a", "a=1"));
    assert!(matches("a", "a=1"));
}

#[test]
fn rules_bind_requests_to_hosts_and_state_shares_and_classes() {
    let text = format!("{CONFIG}[host m1]\nlabels = kind=model\n[host m2]\nlabels = kind=model\n");
    let document = IniDocument::parse("test", &text).expect("INI");
    let config = parse_document(&document).expect("a configuration");
    let group = config.group_of_model("drafter").expect("a group");
    let hosts = [host("m1", "z1"), host("m2", "z3")];
    let place = |name: &str| {
        let account = config
            .account(AccountId::of_name(name))
            .expect("an account");
        let class = &config.classes[account.class];
        let labels =
            RequestLabels::build(account, class, group, Some("drafter"), &Labels::default());
        (
            config.place(group, &labels, hosts.iter()),
            config.class_of(account, &labels).name.clone(),
        )
    };
    let (a, class) = place("lot-a");
    assert_eq!((a.hosts, class), (vec!["m1".to_owned()], "chat".to_owned()));
    assert_eq!(
        a.excluded[0].by,
        ExcludedBy::Rule("a-stays-home".to_owned())
    );
    let (b, class) = place("lot-b");
    assert_eq!((b.hosts.len(), class), (2, "night".to_owned()));
    assert_eq!(config.share(AccountId::of_name("lot-b")), Some(5.0));
    assert_eq!(config.share(AccountId::of_name("lot-a")), Some(2.0));
}

#[test]
fn what_a_caller_sends_cannot_override_what_the_system_knows() {
    let document = IniDocument::parse("test", CONFIG).expect("INI");
    let config = parse_document(&document).expect("a configuration");
    let account = config
        .account(AccountId::of_name("lot-a"))
        .expect("an account");
    let group = &config.groups[0];
    let class = &config.classes[0];
    let sent = labels("lot=b, account=lot-b, extra=1");
    let built = RequestLabels::build(account, class, group, None, &sent);
    assert_eq!(built.get("lot"), Some("a"));
    assert_eq!(built.get("account"), Some("lot-a"));
    assert_eq!(built.get("extra"), Some("1"));
}

proptest! {
    #[test]
    fn no_text_makes_the_selector_parser_panic(text in "\\PC{0,60}") {
        let _parsed = text.parse::<Selector>();
        let _labels = Labels::parse(&text);
    }

    #[test]
    fn a_printed_selector_reads_back_the_same(
        terms in prop::collection::vec(("[a-z]{1,5}", "[a-z0-9]{1,5}", 0u8..5), 0..5),
    ) {
        let text: Vec<String> = terms.iter().map(|(name, value, kind)| match kind {
            0 => format!("{name} = {value}"),
            1 => format!("{name} != {value}"),
            2 => format!("{name} in ({value} {name})"),
            3 => format!("!{name}"),
            _ => name.clone(),
        }).collect();
        let selector: Selector = text.join(", ").parse().expect("a selector");
        let again: Selector = selector.to_string().parse().expect("a selector");
        prop_assert_eq!(selector, again);
    }
}
