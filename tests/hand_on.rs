//! Which neighbour (router of the same zone) a router hands a connection of a caller on to.

use {
    archmast::policy::{Neighbour, choose_neighbour},
    std::net::SocketAddr,
};

fn neighbour(
    port: u16,
    spare: f64,
) -> Neighbour {
    Neighbour {
        caller_address: SocketAddr::from(([127, 0, 0, 1], port)),
        spare_cores: spare,
    }
}

/// How many of 1,000 evenly spread draws fall on the neighbour with this port.
fn times_chosen(
    neighbours: &[Neighbour],
    port: u16,
) -> usize {
    let draws = (0..1000).map(|draw| f64::from(draw) / 1000.0);
    let chosen = draws.filter_map(|draw| choose_neighbour(neighbours, draw));
    chosen.filter(|address| address.port() == port).count()
}

#[test]
fn connections_are_spread_by_the_spare_cores_of_neighbours() {
    let neighbours = [neighbour(1, 0.04), neighbour(2, 0.4), neighbour(3, 0.36)];
    assert_eq!(
        times_chosen(&neighbours, 1) + times_chosen(&neighbours, 2) + times_chosen(&neighbours, 3),
        1000
    );
    assert!(times_chosen(&neighbours, 1).abs_diff(50) <= 1);
    assert!(times_chosen(&neighbours, 2).abs_diff(500) <= 1);
}

#[test]
fn a_neighbour_without_spare_cores_gets_none() {
    let neighbours = [neighbour(1, 0.001), neighbour(2, 0.1)];
    assert_eq!(times_chosen(&neighbours, 2), 1000);
    assert_eq!(choose_neighbour(&neighbours[..1], 0.5), None);
    assert_eq!(choose_neighbour(&[], 0.5), None);
    assert_eq!(
        choose_neighbour(&neighbours, 1.0),
        Some(neighbours[1].caller_address)
    );
}
