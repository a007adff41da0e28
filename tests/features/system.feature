Feature: The whole gateway
  Three core machines with a registry and a store each, four proxies, and two services with three
  servers each.

  Scenario: Operation without faults
    Given a running cluster
    Then every proxy is ready
    And every proxy serves requests with an API key and no others
    And an unknown route is answered 404 and an unknown API key 401
    And the configuration that is read equals the one that was sent
    When a flow of 60 requests a second lasts 5 s
    Then all of these requests are served

  Scenario: A route is added and removed
    Given a running cluster
    When a route is added
    Then within 0.5 s of the acknowledgement every proxy serves it
    When that route is removed
    Then within 0.5 s of the acknowledgement every proxy answers it with 404
    When the API key is replaced
    Then within 0.5 s of the acknowledgement only the new API key is served

  Scenario: An invalid configuration is rejected and never in force
    Given a running cluster
    When the operator sends a route to an unknown service
    Then the change is answered 400
    And the configuration that is read equals the one that was sent

  Scenario Outline: A server drains
    Given a running cluster
    And a flow of 80 requests a second
    When a server starts to drain and <event>
    Then no request reaches that server later than 0.5 s after the acknowledgement
    And at least 98.5 % of the requests succeed

    Examples:
      | event                                                 |
      | nothing else happens                                  |
      | the registry that acknowledged is killed              |
      | the machine that acknowledged loses power             |
      | the machine that acknowledged is partitioned from all |

  Scenario Outline: A proxy restarts
    Given a running cluster
    When a proxy is killed, a route is added, <event> and it restarts
    Then it has the newest configuration when it becomes ready
    And no proxy went back to an older configuration

    Examples:
      | event                                                  |
      | nothing else happens                                   |
      | only a registry partitioned from the core can reach it |
      | the core is killed at once                             |

  Scenario Outline: The core is lost right after an acknowledgement
    Given a running cluster
    When a route is added and right after it <event>
    Then the configuration that is read equals the one that was sent
    And every proxy has the configuration within 2.5 s
    And no proxy went back to an older configuration

    Examples:
      | event                                                      |
      | all of the core is killed                                  |
      | all of the core loses power                                |
      | the primary's disk is wiped and the rest loses power       |
      | all of the core and all proxies lose power                 |
      | the primary's disk is wiped and all proxies lose power too |

  Scenario: A partitioned proxy keeps serving
    Given a running cluster
    When a proxy is partitioned from the core
    And a route is added
    Then it serves requests on older routes for 6 s
    And it does not have the new route
    When the partition is healed
    Then it has the newest configuration within 2.5 s
    And no proxy went back to an older configuration

  Scenario: Proxies without a core
    Given a running cluster
    When all of the core loses power
    Then every proxy serves requests on older routes for 6 s

  Scenario Outline: A proxy stops
    Given a running cluster
    And <load>
    When a proxy gets SIGTERM
    Then its readiness answers 503 at once
    And the requests it has accepted are answered completely, with Connection: close
    And its process ends within 6 s

    Examples:
      | load                                |
      | servers that take 3 s for a request |
      | a flow of 80 requests a second      |

  Scenario: Rolling restart of the core
    Given a running cluster
    And a flow of 80 requests a second
    When each core machine is stopped and restarted in turn
    Then at least 98.5 % of the requests succeed
    And a change is acknowledged within 3 s

  Scenario: A suspended proxy is resumed
    Given a running cluster
    When a proxy is suspended, a route is removed, and it is resumed after 5 s
    Then it answers 404 on that route within 2.5 s
    And no proxy went back to an older configuration
