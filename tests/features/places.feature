Feature: places at backends, given out by a registry to all doors of its zone

  Scenario Outline: no backend is filled while another is free
    Given <doors> doors in 4 zones with a registry each, 37 backends of 2 slots, 57 percent of them asked for, seed <seed>
    When doors ask their registry for places for 20 s
    Then under <queued> percent of the requests find a queue at their backend
    And no registry has a place left when all have ended

    Examples:
      | doors | seed | queued |
      | 8     | 1    | 3      |
      | 85    | 2    | 3      |

  Scenario: what doors do that see only themselves
    Given 85 doors in 4 zones with a registry each, 37 backends of 2 slots, 57 percent of them asked for, seed 3
    When doors choose by themselves for 20 s
    Then over 20 percent of the requests find a queue at their backend

  Scenario: a door dies with its places
    Given 8 doors in 4 zones with a registry each, 37 backends of 2 slots, 57 percent of them asked for, seed 4
    When doors ask their registry for places for 5 s
    And a door that has 9 places loses its connection
    Then no registry has a place of that door

  Scenario: a door whose attempts all fail is not believed
    Given 8 doors in 4 zones with a registry each, 37 backends of 2 slots, 57 percent of them asked for, seed 5
    When one door tells that 60 attempts failed
    Then at most 5 backends are left out for it

  Scenario: a grey backend gets less
    Given 8 doors in 4 zones with a registry each, 37 backends of 2 slots, 20 percent of them asked for, seed 6
    When a backend answers every second request with 500 for 20 s
    Then it got under a third of what the others of its zone got in the last 10 s

  Scenario: who waits goes by rank
    Given a registry at which 3 of rank 2 and 1 of rank 1 wait for room, and one of rank 0 that gave up
    Then the one of rank 1 goes first and the one that gave up never
