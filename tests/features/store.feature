Feature: The store of configuration
  Four core machines; three of them are the seeds. A change is acknowledged once two disks have it.

  Scenario: A calm start
    Given a core that has just started
    When 2 s pass
    Then a change is acknowledged within 0.1 s
    And all machines hold the newest acknowledged version within 0.3 s

  Scenario: A start with one seed down
    Given a core whose second seed doesn't start
    When 6 s pass
    Then a change is acknowledged within 0.1 s

  Scenario: The primary dies
    Given a core at work
    When the primary is killed
    Then a change is acknowledged within 3 s
    And nothing acknowledged is lost

  Scenario Outline: The primary dies while it takes a change
    Given a core at work
    When the primary is killed <instant> ms into a change
    Then a change is acknowledged within 3 s
    And nothing acknowledged is lost

    Examples:
      | instant |
      | 1       |
      | 3       |
      | 5       |
      | 7       |
      | 9       |
      | 11      |
      | 13      |
      | 16      |

  Scenario: All lose power right after an acknowledgement
    Given a core at work
    When a change is acknowledged and all machines lose power for 1 s
    Then a change is acknowledged within 3 s
    And nothing acknowledged is lost

  Scenario: All processes are killed right after an acknowledgement
    Given a core at work
    When a change is acknowledged and all processes are killed for 0.5 s
    Then a change is acknowledged within 3 s
    And nothing acknowledged is lost

  Scenario Outline: One disk is lost as all others lose power
    Given a core at work
    When a change is acknowledged, all machines lose power for 1 s and the disk of <whom> is empty
    Then a change is acknowledged within 3 s
    And nothing acknowledged is lost

    Examples:
      | whom        |
      | the primary |
      | the backup  |
      | a voter     |
      | a stand-by  |

  Scenario: The primary alone behind a cut
    Given a core at work
    When the primary is cut off from all others
    And 1.3 s pass
    Then the old primary acknowledges nothing
    And a change is acknowledged within 1.7 s by the others
    When the cut is mended
    And 1 s pass
    Then nothing acknowledged is lost

  Scenario: Two against two
    Given a core at work
    When the primary and the stand-by are cut off from the others
    And 1.3 s pass
    Then the old primary acknowledges nothing
    And a change is acknowledged within 1.7 s by the others
    When the cut is mended
    And 1 s pass
    Then nothing acknowledged is lost

  Scenario: The primary hears nobody, though it is heard
    Given a core at work
    When nothing comes through to the primary
    And 1.3 s pass
    Then the old primary acknowledges nothing
    And a change is acknowledged within 1.7 s by the others
    When the cut is mended
    And 1 s pass
    Then nothing acknowledged is lost

  Scenario: The backup is lost
    Given a core at work
    When the backup loses power
    Then a change is acknowledged within 1.5 s
    And nothing acknowledged is lost

  Scenario: The backup can't be written to
    Given a core at work
    When the backup hears nothing from the primary, whose disk is lost after an acknowledgement with all power
    Then a change is acknowledged within 3 s
    And nothing acknowledged is lost

  Scenario: Only a voter without data is left, until the backup is back
    Given a core at work
    When all are killed, and the primary stays away, the backup for 2.2 s
    Then a change is acknowledged within 3 s
    And nothing acknowledged is lost

  Scenario: A frozen primary wakes up after its time
    Given a core at work
    When the primary is frozen 6 ms into a change
    And 4 s pass
    Then a change is acknowledged within 0.1 s by the others
    When the primary thaws
    Then the change that froze with it was not acknowledged
    And the old primary acknowledges nothing for its own part
    And nothing acknowledged is lost

  Scenario Outline: A disk in trouble
    Given a core at work
    When the disk of <whom> <trouble>
    Then a change is acknowledged within 3.5 s
    And nothing acknowledged is lost

    Examples:
      | whom        | trouble |
      | the primary | hangs   |
      | the backup  | hangs   |
      | the primary | refuses |
      | the backup  | refuses |
      | the primary | is slow |
      | the backup  | is slow |

  Scenario: The primary leaves
    Given a core at work
    When the primary is told to stop
    Then a change is acknowledged within 0.5 s
    And nothing acknowledged is lost

  Scenario: All machines are exchanged, and the old ones come back
    Given a core at work
    When the machines are exchanged one after the other for new ones
    Then a change is acknowledged within 0.1 s
    When the old machines come back
    And 3 s pass
    Then only new machines vote
    And a change is acknowledged within 0.1 s
    And nothing acknowledged is lost

  Scenario: A torn database is another member
    Given a store on a real disk with one record
    When its database is overwritten
    Then it loads as an empty disk and can be written again
