Feature: Rescue after losses that the store doesn't tolerate
  Four core machines: three voters and one stand-by. Only operators can have a new view founded.

  Scenario: The disks of primary and backup are lost at once
    Given a core that lost the disks of the primary and the backup
    Then nothing is acknowledged for 20 s
    And a rescue is due
    When operators rescue the store
    Then the newest acknowledged version is in force, under an epoch of the next epoch range
    And a change is acknowledged within 0.3 s

  Scenario: Each unreachable member must return or be named as gone
    Given a core at work
    When the primary and a voter lose power
    And 4 s pass
    Then a rescue is refused for each member that is not named, and for one that is named and answers
    When the voter starts again
    And 6 s pass
    Then a rescue is refused with "serves: nothing is lost"
    And a change is acknowledged within 0.1 s

  Scenario: A majority of the voters answers
    Given a core at work
    When the primary loses power
    And 1.4 s pass
    Then a rescue is refused with "the store recovers by itself"
    And a change is acknowledged within 2 s

  Scenario: The token of an outdated state
    Given a core that lost the disks of the primary and the backup
    When operators request a token, and then a stand-by is killed
    Then their token and an invalid one are refused

  Scenario: Two operators rescue at once
    Given a core that lost the disks of the primary and the backup
    When two operators rescue the store at the same time through different machines
    Then one of them founds a view that all members follow
    And a change is acknowledged within 0.3 s

  Scenario Outline: Voters that were named as gone return together
    Given a core at work
    When the primary and a voter <failure>
    And operators rescue the store, naming both as gone
    And <return>
    Then the old primary doesn't serve under its old view
    And all members follow one view
    And a change is acknowledged within 0.3 s
    And nothing acknowledged is lost

    Examples:
      | failure    | return           |
      | lose power | both start again |
      | freeze     | both thaw        |

  Scenario: The whole core loses its disks, and limiters give back their configuration
    Given a system at work whose core lost all disks
    Then requests are served throughout, and changes are refused
    When operators review the rescue case and confirm it
    Then the limiters' configuration is in force, and changes are acknowledged
    And a repeated confirmation is refused
