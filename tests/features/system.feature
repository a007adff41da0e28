Feature: The whole gateway
  Three core machines with a registry and a store each, four proxies, two services of three servers.

  Scenario: A calm day
    Given a running cluster
    Then every proxy is ready
    And every proxy serves requests with a key and no others
    And a route that is unknown is answered 404 and a key that is unknown 401
    And the configuration is read back as it was sent
    When a flow of 60 requests a second lasts 5 s
    Then all of them are served

  Scenario: A route comes and goes
    Given a running cluster
    When a route is added
    Then within 0.5 s of the acknowledgement it is served at every proxy
    When that route is taken away
    Then within 0.5 s of the acknowledgement it is answered 404 at every proxy
    When the key is exchanged for another
    Then within 0.5 s of the acknowledgement only the new key is served

  Scenario: Something invalid is refused and never in force
    Given a running cluster
    When the operator sends a route to an unknown service
    Then it is answered 400
    And the configuration is read back as it was sent

  Scenario Outline: A server leaves
    Given a running cluster
    And a flow of 80 requests a second
    When a server says that it drains and <what>
    Then no request reaches that server later than 0.5 s after
    And hardly any request fails

    Examples:
      | what                                            |
      | nothing else happens                            |
      | the registry that acknowledged is killed        |
      | the machine that acknowledged loses power       |
      | the machine that acknowledged is cut off by all |

  Scenario Outline: A proxy starts again
    Given a running cluster
    When a proxy is killed, a route is added, <what> and it starts again
    Then it has the newest configuration when it is first ready
    And no proxy went back

    Examples:
      | what                                                       |
      | nothing else happens                                       |
      | a registry that is cut off from the core alone reaches it  |
      | the core is killed at once                                 |

  Scenario Outline: The core is lost right after an acknowledgement
    Given a running cluster
    When a route is added and right after it <what>
    Then the configuration is read back as it was sent
    And every proxy has it within 2.5 s
    And no proxy went back

    Examples:
      | what                                                       |
      | all of the core is killed                                  |
      | all of the core loses power                                |
      | the primary's disk is wiped and all others lose power      |
      | all of the core and all proxies lose power                 |
      | the primary's disk is wiped and all proxies lose power too |

  Scenario: A proxy that is cut off goes on
    Given a running cluster
    When a proxy is cut off from the core
    And a route is added
    Then requests on older routes are served there for 6 s
    And it still lacks the new route
    When the cut is mended
    Then it has the newest configuration within 2.5 s
    And no proxy went back

  Scenario: A proxy without any core at all
    Given a running cluster
    When all of the core loses power
    Then requests on older routes are served everywhere for 6 s

  Scenario Outline: A proxy is told to stop
    Given a running cluster
    And <load>
    When a proxy is told to stop
    Then its readiness says 503 at once
    And what it took is answered whole, with Connection: close
    And it ends within 6 s

    Examples:
      | load                                |
      | servers that take 3 s                |
      | a flow of 80 requests a second      |

  Scenario: Registries go one after the other
    Given a running cluster
    And a flow of 80 requests a second
    When each core machine is told to stop and starts again
    Then hardly any request fails
    And a change is acknowledged within 3 s

  Scenario: A frozen proxy thaws
    Given a running cluster
    When a proxy is frozen, a route is taken away, and it thaws after 5 s
    Then that route is answered 404 there within 2.5 s
    And no proxy went back
