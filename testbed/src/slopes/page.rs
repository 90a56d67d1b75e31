use {
    super::{
        Series, Slopes,
        bounds::{Row, bounds},
        size::*,
    },
    std::fmt::Write,
};

/// The page worked out from measured slopes. Every measured figure on it comes
/// from the committed results; a test holds the page against them.
pub fn capacity_page(slopes: &Slopes) -> String {
    let mut page = String::from(HEAD);
    write_roles(&mut page);
    write_bounds(&mut page, &bounds(slopes));
    write_work(&mut page, slopes);
    write_events(&mut page, slopes);
    page.push_str(LIMITS);
    write_slopes(&mut page, slopes);
    page
}

const HEAD: &str = "\
# Capacity at the size of letter 1

360 nodes before 600 replicas, 40,000 client accounts of which 4,000 are
backlogged, 2,500 requests and 920,000 tokens a second, 3 regions, 10
availability zones. Today's size (3 or 4 routers, about 24 upstreams, ten
accounts) comes first and is what the tests run.

This page is written by `archmast-testbed capacity` from
`docs/capacity/slopes.json`, which `archmast-testbed slopes` measures on the
product's processes (release build, one machine, loopback, stand-ins for engines):
one thing varied at a time over four or five sizes, a line through the points by
least squares. Processor time and memory are the kernel's own count for the
process; idle bytes are what the transport sent as UDP payload, without IP and
UDP headers; control bytes are messages as encoded. **Nothing here was run at the
design size.** The last table says how far each line is drawn out.

The product's own form only. How the direct form grows on the users' machines
stands in [design/on-the-platform.md](design/on-the-platform.md#how-it-grows).

Assumed, not measured: a backlogged account waits at four routers; load is even
over the nodes.

";

const LIMITS: &str = "\
## Where today's mechanism does not carry the size

| mechanism | limit met first | what would replace it |
|---|---|---|
| every sidecar reports to the keepers of all accounts it serves | keepers are spread over all routers, so sidecars dial nearly all 360: the mesh above, whatever the reach | keepers chosen among a few routers of each zone, which sum their zone and exchange zone sums |
| keep-alive of one second on every connection | idle bytes and processor time grow with peers | a longer keep-alive for connections that carry no demand, or closing them |
| a reply to each report of each sidecar | totals grow with the sidecars that serve an account; demand itself stays within its budget | totals of a zone once, spread in the zone |
| one validation of the whole configuration for each change | a change of one part validates all 40,000 accounts again | keep parsed parts, validate references only |
| status, shares and audit ask every process | 960 calls for each command | ask keepers for shares, one process of each zone for status |

Mended in measured rounds on the way to this page: demand, which grew with the
sidecars told (64 times the bound), stays within a budget; memory with 40,000
accounts (196 MB) is under the bound where connections are few. The two largest
misses that are left are in the table of bounds; they have one cause, the full
mesh, which the keepers' spread forces whatever the reach.

";

fn write_roles(page: &mut String) {
    let kept = accounts_kept();
    let waiting = accounts_at_router();
    let reached = routers_in_reach();
    put(
        page,
        format_args!(
            "## What each role holds\n\n\
             | role | state | messages |\n|---|---|---|\n\
             | router | configuration; one view of each connected sidecar; its callers' requests; \
             about {waiting:.0} backlogged accounts | demand to sidecars (paced, 5/s each), \
             declines, requests |\n\
             | the keeper's part of a router | totals of about {kept:.0} accounts, with an entry \
             for each sidecar that served one | a reply to each report |\n\
             | sidecar | configuration; ledger of the accounts it served; demand of the routers \
             that reach it ({reached:.0} with reach 32, 360 in the mesh); idempotency keys, \
             100,000 at most | grants, reports (1/s to each keeper), free slots |\n\
             | `archmastctl` | nothing that lasts | one call to each process, 960 for a command |\n\n"
        ),
    );
}

fn write_bounds(
    page: &mut String,
    rows: &[Row],
) {
    page.push_str(
        "## Bounds, met and missed\n\n\
         The ratio is what is expected by the bound; above 1 it is missed. \"Mesh\" is what the \
         product does today at that size.\n\n\
         | role | what | expected | bound | ratio | | mechanism |\n\
         |---|---|---|---|---|---|---|\n",
    );
    for row in rows {
        let ratio = row.expected / row.bound;
        let verdict = if ratio <= 1.0 { "met" } else { "**missed**" };
        put(
            page,
            format_args!(
                "| {} | {} | {:.2} {} | {} | {ratio:.2} | {verdict} | {} |\n",
                row.role, row.what, row.expected, row.unit, row.bound, row.mechanism
            ),
        );
    }
    page.push('\n');
}

fn write_work(
    page: &mut String,
    slopes: &Slopes,
) {
    page.push_str(
        "## Requests and tokens\n\n\
         This is the work itself and outside the bounds for control.\n\n\
         | role | requests/s | % of a core | tokens/s | % of a core |\n|---|---|---|---|---|\n",
    );
    for (role, nodes) in [("router", ROUTERS), ("sidecar", SIDECARS)] {
        let (requests, tokens) = (REQUESTS / nodes, TOKENS / nodes);
        let by_request = slopes.get(&format!("{role}_cpu_requests")).slope;
        let by_token = slopes.get(&format!("{role}_cpu_tokens")).slope;
        put(
            page,
            format_args!(
                "| {role} | {requests:.1} | {:.2} | {tokens:.0} | {:.2} |\n",
                by_request * requests,
                by_token * tokens
            ),
        );
    }
    page.push('\n');
}

fn write_events(
    page: &mut String,
    slopes: &Slopes,
) {
    let restart = slopes.get("router_cpu_restarts").slope;
    let zone = SIDECARS / ZONES;
    let bytes = slopes.get("config_bytes").at(ACCOUNTS) / 1e6;
    let validation = slopes.get("config_validation").at(ACCOUNTS);
    put(
        page,
        format_args!(
            "## Restarts, zones, regions\n\n\
             - **A sidecar's restart** costs each router that is connected to it {restart:.2} ms of \
             processor time. {RESTARTS_A_DAY:.0} restarts a day are one each {:.0} s.\n\
             - **A zone's {zone:.0} sidecars** that come back at once cost each router {:.0} ms, \
             spread by pauses drawn at random below `retry_pause` (2 s). Each returning process \
             fetches the configuration, {bytes:.1} MB at 40,000 accounts, from a peer or the \
             platform; 96 processes with {:.0} parts each are {:.0} calls.\n\
             - **A change of configuration** ({CHANGES_A_DAY:.0} a day) makes 960 processes fetch \
             the manifest and one part, 1,920 calls, and validate 40,000 accounts in \
             {validation:.0} ms of one thread each.\n\
             - **Ledgers** are rebuilt from the next reports: within one report interval, and 64 \
             accounts a second for each sidecar where there are more.\n\
             - **Regions cut from each other** go on: each sidecar keeps the last total it heard and \
             counts its own service on, each side's keepers sum their own side. An account served on \
             both sides is owed the difference afterwards; its totals meet when reports cross again, \
             and `debt_ceiling` bounds how long it is held back. The gap while cut grows with what \
             one side serves alone. Not measured at this size; at today's size see the test of cut \
             and lossy links in PROMISES.md.\n\n",
            86_400.0 / RESTARTS_A_DAY,
            restart * zone,
            ACCOUNTS / 4_000.0 + 1.0,
            96.0 * (ACCOUNTS / 4_000.0 + 3.0),
        ),
    );
}

fn write_slopes(
    page: &mut String,
    slopes: &Slopes,
) {
    page.push_str(
        "## Slopes\n\n\
         Residual: the largest distance of a point from the line, by the largest point.\n\n\
         | series | for each | unit | slope | at 0 | residual | measured up to | drawn out |\n\
         |---|---|---|---|---|---|---|---|\n",
    );
    for series in &slopes.series {
        let largest = series.largest();
        put(
            page,
            format_args!(
                "| {} | {} | {} | {:.5} | {:.2} | {:.2} | {largest:.0} | {:.1} times |\n",
                series.name,
                series.per,
                series.unit,
                series.slope,
                series.intercept,
                series.residual,
                drawn_out(series)
            ),
        );
    }
}

/// How far beyond the measured points the line is used.
fn drawn_out(series: &Series) -> f64 {
    let used = match series.per.as_str() {
        "client accounts configured" => ACCOUNTS,
        "sidecars connected" | "sidecars told" => SIDECARS,
        "routers connected" => ROUTERS,
        "sidecars restarted at once" => SIDECARS / ZONES,
        "plain calls a second" => REQUESTS / ROUTERS,
        "tokens streamed a second" => TOKENS / ROUTERS,
        _ => REPORTED,
    };
    used / series.largest()
}

fn put(
    page: &mut String,
    text: std::fmt::Arguments,
) {
    page.write_fmt(text).expect("a string takes all");
}
