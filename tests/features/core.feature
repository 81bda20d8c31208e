Feature: one configuration, whatever fails

  Scenario Outline: kills, losses of power and of disks, partitions, freezes, replacements, and a closing fault
    Given a store in which is planted: nothing
    When the days of seeds <first> to <last> are played
    Then the judge finds nothing, and <percent> percent of the puts were acknowledged

    Examples:
      | first | last | percent |
      | 1     | 6    | 85      |
      | 7     | 7    | 85      |

  Scenario: two bodies under one number, put at two members at once
    Given a store in which is planted: nothing
    When two bodies are put under one number at once, 40 times
    Then both were confirmed in 0 of them, and one in each

  Scenario: a body put under a number that is decided
    Given a store in which is planted: nothing
    When a body of larger digest is put 1 s after the other's confirmation, 20 times
    Then it replaced the other in 0 of them

  Scenario Outline: members replaced by ones at new addresses
    Given a store in which is planted: nothing
    When 10 members of <count> are replaced, 6 s apart
    Then a put is confirmed and a read answered after each

    Examples:
      | count |
      | 3     |
      | 4     |
      | 5     |

  Scenario Outline: the judge finds what is planted
    Given a store in which is planted: <bug>
    When <play> of seed <seed> is played
    Then the judge finds it, and nothing where it is not planted

    Examples:
      | bug                          | play         | seed |
      | accept not synced            | day: any     | 1    |
      | learner counted              | duels: wipe  | 7    |
      | lease from the answer        | day: one way | 22   |
      | value applied before decided | duels: none  | 13   |
      | a repeated put refused       | day: any     | 1    |
      | read without a quorum        | day: any     | 1    |
      | confirmed without a quorum   | day: any     | 1    |
