Feature: Routers refuse requests that end backend servers

  # Guards against one request that, sent again and again, ends all servers of a plain service.
  Scenario: A request that ends plain services is refused by all routers, others are served
    Given a site with 3 routers and the sample configurations
    And booking-desk servers that end when they run "/huts/99", for 0.4 s each
    When the lookup "/huts/99" comes 8 times a second for 6 s through the routers in turn, beside 12 others
    Then at most 3 of these run later than 3 s after the second end
    And the last of these are refused with 503 and a time to return
    And at least 9 in 10 of the others sent in the last 2 s are answered with 200
