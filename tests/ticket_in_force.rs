//! The ticket number of a view never decreases, whatever the order, duplication or loss of the
//! changes that it receives.

use proptest::prelude::*;

use gooseberryloft::ids::TicketNumber;
use gooseberryloft::ticket;
use gooseberryloft::ticket::InForce;
use gooseberryloft::view::View;
use gooseberryloft::view::ViewChange;

// Returns the states after each ticket; every ticket changes or removes one of three services.
fn history(steps: &[(u8, bool)]) -> Vec<InForce> {
    let mut states = vec![InForce::default()];
    for (i, (service, remove)) in steps.iter().enumerate() {
        let state = states.last().expect("never empty");
        let name = format!("s{service}");
        let body = match *remove && state.services.contains_key(&name.as_str().into()) {
            true => format!("[remove {name}]\n"),
            false => format!(
                "[service {name}]\npath = /{name}\nidempotent = GET\ndeadline = {} s\n\
                 [target {name} t]\naddress = 127.0.0.1:900{service}\ndata_centre = ikeja\n\
                 slots = 2\nconnections = 45\nchecks_term = no\n",
                i + 1
            ),
        };
        let base = state.number;
        let text = format!("[ticket]\nnumber = {}\nbase = {base}\n{body}", base.next());
        let ticket = ticket::parse(&text).expect("the generated ticket is valid");
        states.push(state.apply(&ticket));
    }
    states
}

fn change(states: &[InForce], from: usize, to: usize, complete: bool) -> ViewChange {
    match complete {
        true => ViewChange::State(states[to].clone()),
        false => ViewChange::Services {
            base: states[from].number,
            number: states[to].number,
            services: states[to].changes_from(&states[from]),
        },
    }
}

proptest! {
    #[test]
    fn a_view_never_falls_and_always_holds_an_accepted_state(
        steps in prop::collection::vec((0..3u8, any::<bool>()), 1..10),
        changes in prop::collection::vec((any::<usize>(), any::<usize>(), any::<bool>()), 0..40),
    ) {
        let states = history(&steps);
        let mut view = View::default();
        let mut previous = TicketNumber(0);
        for (a, b, complete) in changes {
            let (a, b) = (a % states.len(), b % states.len());
            let applied = view.apply(change(&states, a.min(b), a.max(b), complete));
            prop_assert!(view.state.number >= previous);
            prop_assert_eq!(&view.state, &states[view.state.number.0 as usize]);
            prop_assert!(!applied || view.state.number >= states[a.max(b)].number);
            previous = view.state.number;
        }
        view.apply(ViewChange::State(states[states.len() - 1].clone()));
        prop_assert_eq!(&view.state, &states[states.len() - 1]);
    }
}
