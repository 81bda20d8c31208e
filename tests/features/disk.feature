Feature: what a member answered outlives the loss of power

  Scenario Outline: power is lost at every act of a promise, a body and an accept
    Given an acceptor on a disk that has accepted <count> versions
    When power is lost at every act of one more
    Then over <least> disks were looked at and none has lost what was answered

    Examples:
      | count | least |
      | 1     | 30    |
      | 2     | 30    |
      | 7     | 30    |

  Scenario Outline: a process that is killed in an act, and power that is lost after its next start
    Given an acceptor on a disk that has accepted <count> versions
    When it is killed at every act of one more, starts again and then loses power
    Then over 12 disks were looked at and none has lost what was answered

    Examples:
      | count |
      | 0     |
      | 2     |

  Scenario: power is lost at every act of the first start
    Given an empty disk
    When power is lost at every act of the first start
    Then over 4 disks were looked at and none tells a name that it has told before

  Scenario: a byte of the acceptor's file that was flipped
    Given an acceptor on a disk that has accepted 3 versions
    When a byte of its file is flipped, wherever it is
    Then its disk counts as lost and has another identity

  Scenario: a byte of a body that was flipped
    Given an acceptor on a disk that has accepted 3 versions
    When a byte of the newest body is flipped, wherever it is
    Then the body is not held and the ones before it are

  Scenario: a full disk
    Given an acceptor on a disk that has accepted 3 versions
    When the disk is full
    Then a promise and a body are refused and nothing is lost

  Scenario: growth is bounded
    Given an acceptor on a disk that has accepted 40 versions
    Then at most 6 files are on it
